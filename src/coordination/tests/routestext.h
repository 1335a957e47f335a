#ifndef PAPAYARACK_COORDINATION_TESTS_ROUTESTEXT_H_
#define PAPAYARACK_COORDINATION_TESTS_ROUTESTEXT_H_

#include <cstdint>
#include <random>
#include <string>

namespace papayarack::coordination {

/// A text like a configuration: a list of routes, all different.
inline std::string RoutesText(std::size_t bytes, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text;
  while (text.size() < bytes) {
    text += "{\"route\":\"r" + std::to_string(random()) + "\",\"model\":\"m" +
            std::to_string(random() % 5) +
            "\",\"weight\":" + std::to_string(random() % 1000) + "},\n";
  }
  text.resize(bytes);
  return text;
}

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TESTS_ROUTESTEXT_H_
