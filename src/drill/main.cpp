#include <iostream>

#include "drill/drill.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return shorelead::drill::run(std::cin, std::cout, std::cerr);
}
