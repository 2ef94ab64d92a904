package stub

import (
	"encoding/json"
	"fmt"
	"os"
)

// relayConfig holds the fields of a relay's configuration file that the stub uses.
type relayConfig struct {
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	State     string         `json:"state"`
	KnownList endpointUpdate `json:"known"`
}

func readConfig(path string) (relayConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return relayConfig{}, err
	}
	var config relayConfig
	if err := json.Unmarshal(text, &config); err != nil {
		return relayConfig{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}
