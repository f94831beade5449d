/* raw_sender: a client that writes a request by itself, to leave at any moment.  */

#ifndef SASSAFRAS_RAW_SENDER_H
#define SASSAFRAS_RAW_SENDER_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connects to IP:PORT and sends TEXT; the caller closes the returned socket.  */
static inline int
raw_send (const char *ip, int port, const char *text)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (inet_pton (AF_INET, ip, &to.sin_addr), 1);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  assert_int_equal (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
  return fd;
}

#endif
