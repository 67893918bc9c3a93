/*
 * System calls that fail, a process that is held up, and a record of what it sends, for tests of real schedulers
 * (LD_PRELOAD).
 *
 * A fault is on while a file of its name stands in the directory $FAULT_DIR:
 *   accept   accept fails with ENFILE
 *   connect  connect fails with EADDRNOTAVAIL
 *   stall    a thread is held up for 150 ms after a wait of a few ms that no event ended, as a timer's is
 *   late     a thread is held up for 250 ms between each wait that an event ended and what it does then
 *   slow     a thread is held up for 30 ms after each read of a socket that brought bytes
 *   disk     opening for writing, renaming and syncing fail with ENOSPC or EIO on paths that hold "cypressglade-"
 *   back     the wall clock is an hour behind
 *   ahead    the wall clock is an hour ahead
 *   read     opening the configuration (a path that ends in "config.json") fails with EIO
 *
 * The file "sent" in that directory, where there is one, gets a line for each request that the process writes to a
 * socket: its X-Trace-Id, and the monotonic time in nanoseconds at which the write of its head began.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum { SHORT_WAIT_MS = 5, STALL_MS = 150, LATE_MS = 250, SLOW_MS = 30, STEP_S = 3600, HEAD_BYTES = 1024 };

static const char TRACE_ID[] = "\r\nX-Trace-Id: ";

static int on(const char *fault) {
    const char *directory = getenv("FAULT_DIR");
    char path[512];
    if (directory == NULL) {
        return 0;
    }
    int before = errno;
    snprintf(path, sizeof path, "%s/%s", directory, fault);
    int there = syscall(SYS_faccessat, AT_FDCWD, path, F_OK) == 0;
    errno = before;
    return there;
}

static int fail(int with) {
    errno = with;
    return -1;
}

static int kept(const char *path) {
    return strstr(path, "cypressglade-") != NULL;
}

static int is_config(const char *path) {
    const char *end = strstr(path, "config.json");
    return end != NULL && strlen(end) == strlen("config.json");
}

int accept(int socket, struct sockaddr *address, socklen_t *length) {
    int (*real)(int, struct sockaddr *, socklen_t *) = dlsym(RTLD_NEXT, "accept");
    return on("accept") ? fail(ENFILE) : real(socket, address, length);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    int (*real)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    return on("accept") ? fail(ENFILE) : real(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    int (*real)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
    return on("connect") ? fail(EADDRNOTAVAIL) : real(socket, address, length);
}

static void hold_up(int milliseconds) {
    int before = errno;
    usleep(milliseconds * 1000);
    errno = before;
}

int epoll_wait(int poll, struct epoll_event *events, int most, int timeout) {
    int (*real)(int, struct epoll_event *, int, int) = dlsym(RTLD_NEXT, "epoll_wait");
    int ready = real(poll, events, most, timeout);
    if (ready == 0 && timeout > 0 && timeout <= SHORT_WAIT_MS && on("stall")) {
        hold_up(STALL_MS);
    } else if (ready > 0 && timeout != 0 && on("late")) {
        hold_up(LATE_MS);
    }
    return ready;
}

static int is_request(const char *bytes, size_t size) {
    return size > 5 && (memcmp(bytes, "GET /", 5) == 0 || memcmp(bytes, "PUT /", 5) == 0);
}

static void note_sent(const char *bytes, size_t size) {
    const char *directory = getenv("FAULT_DIR");
    const char *id = memmem(bytes, size < HEAD_BYTES ? size : HEAD_BYTES, TRACE_ID, strlen(TRACE_ID));
    if (directory == NULL || id == NULL) {
        return;
    }
    int before = errno;
    char path[512];
    snprintf(path, sizeof path, "%s/sent", directory);
    int file = syscall(SYS_openat, AT_FDCWD, path, O_WRONLY | O_APPEND | O_CLOEXEC);
    if (file >= 0) {
        char line[128];
        struct timespec now;
        id += strlen(TRACE_ID);
        int length = strcspn(id, "\r");
        syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
        int count = snprintf(line, sizeof line, "%.*s %lld\n", length < 64 ? length : 64, id,
                             now.tv_sec * 1000000000LL + now.tv_nsec);
        syscall(SYS_write, file, line, count);
        syscall(SYS_close, file);
    }
    errno = before;
}

ssize_t write(int file, const void *bytes, size_t size) {
    static ssize_t (*real)(int, const void *, size_t);
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "write");
    }
    if (is_request(bytes, size)) {
        note_sent(bytes, size);
    }
    return real(file, bytes, size);
}

static int is_socket(int file) {
    struct stat status;
    return fstat(file, &status) == 0 && S_ISSOCK(status.st_mode);
}

static ssize_t after_read(int file, ssize_t count) {
    if (count > 0 && on("slow") && is_socket(file)) {
        hold_up(SLOW_MS);
    }
    return count;
}

ssize_t read(int file, void *bytes, size_t size) {
    static ssize_t (*real)(int, void *, size_t);
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "read");
    }
    return after_read(file, real(file, bytes, size));
}

ssize_t recv(int socket, void *bytes, size_t size, int flags) {
    static ssize_t (*real)(int, void *, size_t, int);
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "recv");
    }
    return after_read(socket, real(socket, bytes, size, flags));
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*real)(clockid_t, struct timespec *);
    if (real == NULL) {
        real = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int done = real(clock, time);
    if (clock == CLOCK_REALTIME && on("back")) {
        time->tv_sec -= STEP_S;
    } else if (clock == CLOCK_REALTIME && on("ahead")) {
        time->tv_sec += STEP_S;
    }
    return done;
}

static int refused(const char *path, int flags) {
    int writes = (flags & O_ACCMODE) != O_RDONLY;
    if (writes && kept(path) && on("disk")) {
        return ENOSPC;
    }
    return !writes && is_config(path) && on("read") ? EIO : 0;
}

/* The C library has the call under two names. */
#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        int (*real)(const char *, int, ...) = dlsym(RTLD_NEXT, #name); \
        va_list more; \
        va_start(more, flags); \
        int mode = va_arg(more, int); \
        va_end(more); \
        int error = refused(path, flags); \
        return error != 0 ? fail(error) : real(path, flags, mode); \
    }

OPEN(open)
OPEN(open64)

int rename(const char *from, const char *to) {
    int (*real)(const char *, const char *) = dlsym(RTLD_NEXT, "rename");
    return kept(to) && on("disk") ? fail(EIO) : real(from, to);
}

int fsync(int file) {
    int (*real)(int) = dlsym(RTLD_NEXT, "fsync");
    return on("disk") ? fail(EIO) : real(file);
}

int fdatasync(int file) {
    int (*real)(int) = dlsym(RTLD_NEXT, "fdatasync");
    return on("disk") ? fail(EIO) : real(file);
}
