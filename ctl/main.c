#include <stdio.h>

int
main (void)
{
  puts ("sassafrasctl");
  return 0;
}
