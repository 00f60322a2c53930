#include <cstdio>

int
main()
{
  std::puts("nutmegrock " NUTMEGROCK_VERSION);
  return 0;
}
