#include <stdio.h>

int
main (void)
{
  puts ("worker");
  return 0;
}
