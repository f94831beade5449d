/* Opens keep-alive connections to one address, sends a request on each and prints how many are
   answered.  A cell leader needs one per worker because it holds every worker's poll open.

   Usage: bench_open_connections IP PORT COUNT   (run by bench/open_connections.sh)
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_MS 3000

int
main (int argc, char **argv)
{
  static const char request[] = "GET /nothing HTTP/1.1\r\nHost: entry\r\n\r\n";
  struct sockaddr_in a = { .sin_family = AF_INET };
  char answer[1024];
  if (argc != 4 || inet_pton (AF_INET, argv[1], &a.sin_addr) != 1)
    {
      fprintf (stderr, "usage: bench_open_connections IP PORT COUNT\n");
      return 2;
    }
  a.sin_port = htons ((uint16_t)atoi (argv[2]));
  int count = atoi (argv[3]);
  int answered = 0;
  while (answered < count)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      struct pollfd p = { .fd = fd, .events = POLLIN };
      if (fd < 0 || connect (fd, (struct sockaddr *)&a, sizeof a)
          || write (fd, request, strlen (request)) < 0 || poll (&p, 1, ANSWER_TIMEOUT_MS) != 1
          || read (fd, answer, sizeof answer) <= 0)
        break;
      answered++;
    }
  printf ("%d of %d connections answered\n", answered, count);
  return 0;
}
