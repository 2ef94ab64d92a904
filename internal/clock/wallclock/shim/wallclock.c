// Loaded into a process (LD_PRELOAD), this library shifts its wall clock by the
// nanoseconds that stand in the file named by WALL_CLOCK_SHIFT, as they stand there at
// each reading. The monotonic clocks are left alone.
//
// A Go program reads its clocks by the vDSO and not by the C library, so the entries of
// the process's own private copy of that page are rewritten to jump here.

#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const volatile int64_t *shift;

static long kernel(long number, long a, long b) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(number), "D"(a), "S"(b) : "rcx", "r11", "memory");
	return result;
}

static int shifted_clock_gettime(clockid_t id, struct timespec *at) {
	long result = kernel(SYS_clock_gettime, id, (long)at);
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t total = at->tv_sec * 1000000000L + at->tv_nsec + *shift;
		at->tv_sec = total / 1000000000L;
		at->tv_nsec = total % 1000000000L;
	}
	return result;
}

static int shifted_gettimeofday(struct timeval *at, void *zone) {
	(void)zone;
	struct timespec now;
	int result = shifted_clock_gettime(CLOCK_REALTIME, &now);
	if (result == 0 && at) {
		at->tv_sec = now.tv_sec;
		at->tv_usec = now.tv_nsec / 1000;
	}
	return result;
}

static time_t shifted_time(time_t *at) {
	struct timespec now;
	shifted_clock_gettime(CLOCK_REALTIME, &now);
	if (at)
		*at = now.tv_sec;
	return now.tv_sec;
}

// jump overwrites the code at a place with one that goes on elsewhere.
static void jump(uint8_t *place, void *to) {
	uint8_t code[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // movabs to, %rax; jmp *%rax
	memcpy(code + 2, &to, sizeof to);
	memcpy(place, code, sizeof code);
}

static void rewrite(uint8_t *page) {
	Elf64_Ehdr *head = (Elf64_Ehdr *)page;
	Elf64_Phdr *program = (Elf64_Phdr *)(page + head->e_phoff);
	uint8_t *base = page;
	Elf64_Dyn *dynamic = NULL;
	size_t size = 0;
	for (int i = 0; i < head->e_phnum; i++) {
		if (program[i].p_type == PT_LOAD) {
			base = page + program[i].p_offset - program[i].p_vaddr;
			size = program[i].p_memsz;
		}
		if (program[i].p_type == PT_DYNAMIC)
			dynamic = (Elf64_Dyn *)(page + program[i].p_offset);
	}
	Elf64_Sym *symbols = NULL;
	const char *names = NULL;
	Elf64_Word *hash = NULL;
	Elf64_Word *gnu = NULL;
	for (; dynamic && dynamic->d_tag != DT_NULL; dynamic++) {
		void *at = base + dynamic->d_un.d_ptr;
		if (dynamic->d_tag == DT_SYMTAB) symbols = at;
		if (dynamic->d_tag == DT_STRTAB) names = at;
		if (dynamic->d_tag == DT_HASH) hash = at;
		if (dynamic->d_tag == DT_GNU_HASH) gnu = at;
	}
	if (!symbols || !names || (!hash && !gnu))
		_exit(97);
	size_t count = (size_t)((const char *)names - (const char *)symbols) / sizeof(Elf64_Sym);
	if (hash)
		count = hash[1];
	if (mprotect(page, (size + 4095) & ~4095UL, PROT_READ | PROT_WRITE | PROT_EXEC))
		_exit(98);
	for (size_t i = 0; i < count; i++) {
		if (symbols[i].st_shndx == SHN_UNDEF)
			continue;
		const char *name = names + symbols[i].st_name;
		uint8_t *code = base + symbols[i].st_value;
		if (!strcmp(name, "__vdso_clock_gettime")) jump(code, (void *)shifted_clock_gettime);
		if (!strcmp(name, "__vdso_gettimeofday")) jump(code, (void *)shifted_gettimeofday);
		if (!strcmp(name, "__vdso_time")) jump(code, (void *)shifted_time);
	}
	mprotect(page, (size + 4095) & ~4095UL, PROT_READ | PROT_EXEC);
}

__attribute__((constructor)) static void begin(void) {
	const char *name = getenv("WALL_CLOCK_SHIFT");
	if (!name)
		return;
	int fd = open(name, O_RDONLY | O_CLOEXEC);
	void *page = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
	if (fd < 0 || page == MAP_FAILED)
		_exit(96);
	close(fd);
	shift = page;
	uint8_t *vdso = (uint8_t *)getauxval(AT_SYSINFO_EHDR);
	if (vdso)
		rewrite(vdso);
}
