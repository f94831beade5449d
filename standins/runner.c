#include <stdio.h>

int
main (void)
{
  puts ("runner");
  return 0;
}
