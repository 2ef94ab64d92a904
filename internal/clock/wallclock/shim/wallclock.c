// A library that is preloaded into a process (LD_PRELOAD) and shifts the wall clock that
// the process reads. The shift is a number of nanoseconds, an int64 in the file that
// WALL_CLOCK_SHIFT names; it is read anew at each reading of the clock. The monotonic
// clocks are not affected.
//
// A Go program reads its clocks through the vDSO and not through the C library. The
// library therefore overwrites the clock functions in the process's private copy of the
// vDSO with jumps to its own.
//
// It ends the process with status 96 if the file cannot be mapped, 97 if the vDSO has no
// symbol table that it can read, and 98 if the vDSO cannot be made writable.

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

#if defined(__x86_64__)
#define VDSO_PREFIX "__vdso_"
#elif defined(__aarch64__)
#define VDSO_PREFIX "__kernel_"
#else
#error "no system call and no jump for this kind of machine"
#endif

static const volatile int64_t *shift;

// Calls the kernel directly, since the clock functions of the vDSO lead back to this library.
static long raw_syscall(long number, long arg1, long arg2) {
#if defined(__x86_64__)
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(number), "D"(arg1), "S"(arg2) : "rcx", "r11", "memory");
	return result;
#else
	register long x8 __asm__("x8") = number;
	register long x0 __asm__("x0") = arg1;
	register long x1 __asm__("x1") = arg2;
	__asm__ volatile("svc #0" : "+r"(x0) : "r"(x8), "r"(x1) : "memory");
	return x0;
#endif
}

static int shifted_clock_gettime(clockid_t id, struct timespec *ts) {
	long result = raw_syscall(SYS_clock_gettime, id, (long)ts);
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
		int64_t total = ts->tv_sec * 1000000000L + ts->tv_nsec + *shift;
		ts->tv_sec = total / 1000000000L;
		ts->tv_nsec = total % 1000000000L;
	}
	return result;
}

static int shifted_gettimeofday(struct timeval *tv, void *zone) {
	(void)zone;
	struct timespec now;
	int result = shifted_clock_gettime(CLOCK_REALTIME, &now);
	if (result == 0 && tv) {
		tv->tv_sec = now.tv_sec;
		tv->tv_usec = now.tv_nsec / 1000;
	}
	return result;
}

static time_t shifted_time(time_t *result) {
	struct timespec now;
	shifted_clock_gettime(CLOCK_REALTIME, &now);
	if (result)
		*result = now.tv_sec;
	return now.tv_sec;
}

// Overwrites the machine code at place with a jump to the function at target.
static void write_jump(uint8_t *place, void *target) {
#if defined(__x86_64__)
	uint8_t code[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // movabs target, %rax; jmp *%rax
	memcpy(code + 2, &target, sizeof target);
#else
	uint8_t code[16] = {0x50, 0, 0, 0x58, 0, 0x02, 0x1f, 0xd6}; // ldr x16, target; br x16; target
	memcpy(code + 8, &target, sizeof target);
#endif
	memcpy(place, code, sizeof code);
	__builtin___clear_cache((char *)place, (char *)place + sizeof code);
}

// Finds the clock functions in the vDSO, an ELF image that begins at page, and makes them
// jump to the shifted ones.
static void redirect_vdso(uint8_t *page) {
	Elf64_Ehdr *header = (Elf64_Ehdr *)page;
	Elf64_Phdr *segments = (Elf64_Phdr *)(page + header->e_phoff);
	uint8_t *base = page;
	Elf64_Dyn *dynamic = NULL;
	size_t size = 0;
	for (int i = 0; i < header->e_phnum; i++) {
		if (segments[i].p_type == PT_LOAD) {
			base = page + segments[i].p_offset - segments[i].p_vaddr;
			size = segments[i].p_memsz;
		}
		if (segments[i].p_type == PT_DYNAMIC)
			dynamic = (Elf64_Dyn *)(page + segments[i].p_offset);
	}
	Elf64_Sym *symbols = NULL;
	const char *names = NULL;
	Elf64_Word *hash = NULL;
	Elf64_Word *gnu_hash = NULL;
	for (; dynamic && dynamic->d_tag != DT_NULL; dynamic++) {
		void *address = base + dynamic->d_un.d_ptr;
		if (dynamic->d_tag == DT_SYMTAB) symbols = address;
		if (dynamic->d_tag == DT_STRTAB) names = address;
		if (dynamic->d_tag == DT_HASH) hash = address;
		if (dynamic->d_tag == DT_GNU_HASH) gnu_hash = address;
	}
	if (!symbols || !names || (!hash && !gnu_hash))
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
		if (!strcmp(name, VDSO_PREFIX "clock_gettime")) write_jump(code, (void *)shifted_clock_gettime);
		if (!strcmp(name, VDSO_PREFIX "gettimeofday")) write_jump(code, (void *)shifted_gettimeofday);
		if (!strcmp(name, VDSO_PREFIX "time")) write_jump(code, (void *)shifted_time);
	}
	mprotect(page, (size + 4095) & ~4095UL, PROT_READ | PROT_EXEC);
}

__attribute__((constructor)) static void install_shim(void) {
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
		redirect_vdso(vdso);
}
