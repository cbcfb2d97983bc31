/* Loaded into a node by its tests: socket calls that fail or end short, as Linux documents them.
 * SHIM_SHORT=N: one in N reads and writes of sockets moves a part of what it could.
 * SHIM_INTERRUPT=N: one in N of them fails with EINTR, nothing moved.
 * SHIM_ACCEPT=N: one in N accepts fails, with each of the documented transient errors in turn.
 * SHIM_CONNECT=N: one in N connects fails for want of a local port, as if none were free just then. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>

static unsigned long draws = 88172645463325252UL;

static unsigned long draw(void) {
    draws ^= draws << 13;
    draws ^= draws >> 7;
    draws ^= draws << 17;
    return draws;
}

static int one_in(const char *name) {
    const char *text = getenv(name);
    unsigned long count = text ? strtoul(text, 0, 10) : 0;
    return count && draw() % count == 0;
}

static size_t part(size_t length) {
    return length > 1 && one_in("SHIM_SHORT") ? 1 + draw() % (length - 1) : length;
}

static int interrupted(void) {
    if (!one_in("SHIM_INTERRUPT")) {
        return 0;
    }
    errno = EINTR;
    return 1;
}

#define NEXT(name) __typeof__(&name) next = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    NEXT(recv);
    return interrupted() ? -1 : next(fd, bytes, part(length), flags);
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    NEXT(send);
    return interrupted() ? -1 : next(fd, bytes, part(length), flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    NEXT(readv);
    struct iovec first = parts[0];
    first.iov_len = part(first.iov_len);
    if (interrupted()) {
        return -1;
    }
    return first.iov_len < parts[0].iov_len ? next(fd, &first, 1) : next(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    NEXT(writev);
    struct iovec first = parts[0];
    first.iov_len = part(first.iov_len);
    if (interrupted()) {
        return -1;
    }
    return first.iov_len < parts[0].iov_len ? next(fd, &first, 1) : next(fd, parts, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT(accept4);
    static const int errors[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR};
    static unsigned turn;
    if (one_in("SHIM_ACCEPT")) {
        errno = errors[turn++ % (sizeof errors / sizeof *errors)];
        return -1;
    }
    return next(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    NEXT(connect);
    if (one_in("SHIM_CONNECT")) {
        errno = EADDRNOTAVAIL;
        return -1;
    }
    return next(fd, address, length);
}
