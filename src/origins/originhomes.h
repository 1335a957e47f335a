#ifndef PAPAYARACK_ORIGINS_ORIGINHOMES_H_
#define PAPAYARACK_ORIGINS_ORIGINHOMES_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::origins {

/// A process that can keep origins.
struct HomeOption {
  std::string address;  ///< Unique key.
  std::string zone;
};

/// Number of processes that keep one origin.
inline constexpr std::size_t kHomes = 2;

/// The processes that keep the origin of `request`, by rendezvous hashing:
/// entries agree on them without messages. They are in different zones if
/// `options` has two, so that the loss of one zone loses no origin. Thread
/// safety: any thread.
std::vector<std::string> HomesToRecord(std::string_view request,
                                       std::span<const HomeOption> options);

/// The processes that may know the origin of `request`: its homes, and those
/// that were its homes if one of them has joined since the record. If one has
/// left, the other is among the present homes. Thread safety: any thread.
std::vector<std::string> HomesToAsk(std::string_view request,
                                    std::span<const HomeOption> options);

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_ORIGINHOMES_H_
