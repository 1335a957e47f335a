#include "nodes/listpolling.h"

#include <algorithm>

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

constexpr double kMsPerSecond = 1000;
/// Replicas for each entry in the smallest supported fleets.
constexpr std::size_t kReplicasPerEntry = 8;
/// Entries of the largest supported fleets.
constexpr std::size_t kMostReaders = 100;
/// Entries on a page of the platform's list.
constexpr std::size_t kReplicasPerPage = 50;

constexpr int kTooMany = 429;
constexpr int kServerError = 500;

milliseconds Millis(double amount) {
  return milliseconds(static_cast<std::int64_t>(amount));
}

/// The time in which `calls` use up `share` of the platform's rate.
milliseconds TimeFor(double calls, double share, double rate) {
  return Millis(calls / (share * rate) * kMsPerSecond);
}

milliseconds RoundOf(const ListLoad& load) {
  return TimeFor(static_cast<double>(load.readers * load.pages), kFallbackShare,
                 load.rate);
}

double ChanceOf(std::minstd_rand& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

std::minstd_rand Seeded(std::uint64_t seed) {
  std::seed_seq mixed{static_cast<std::uint32_t>(seed),
                      static_cast<std::uint32_t>(seed >> 32U)};
  return std::minstd_rand(mixed);
}

}  // namespace

double ListRate(double configured) {
  return configured > 0 ? configured : kDefaultListRate;
}

std::size_t EstimateReaders(std::size_t members, std::size_t replicas) {
  const std::size_t least = std::max<std::size_t>(members, 1);
  return std::max(least, std::min(replicas / kReplicasPerEntry, kMostReaders));
}

std::size_t EstimatePages(std::size_t replicas) {
  return replicas / kReplicasPerPage + 1;
}

milliseconds LeaderListInterval(double rate, std::size_t pages) {
  return TimeFor(static_cast<double>(pages), kLeaderShare, rate);
}

milliseconds MaxListAge(const ListLoad& load) {
  return kMaxListAge + std::max(LeaderListInterval(load.rate, load.pages) -
                                    kLeaderListInterval,
                                milliseconds(0));
}

ListPollSchedule::ListPollSchedule(std::uint64_t seed) : random(Seeded(seed)) {}

double ListPollSchedule::Chance() { return ChanceOf(this->random); }

bool ListPollSchedule::Due(const ListLoad& load, Time now) {
  if (!this->next.has_value() || now - *this->next > kScheduleExpiry) {
    // In small fleets a round takes no time, so nobody waits.
    this->next = now + Millis(this->Chance() *
                              static_cast<double>(RoundOf(load).count()));
  }
  return now >= *this->next;
}

void ListPollSchedule::Ended(const ListLoad& load, bool whole,
                             std::size_t refused, Time now) {
  if (whole) {
    this->stretch = std::max(this->stretch / kRecoveryFactor, 1.0);
  } else if (refused > 0) {
    this->stretch = std::min(this->stretch * kBackoffFactor, kMaxStretch);
  }
  const auto least =
      static_cast<double>(std::max(RoundOf(load), kMinPause).count());
  this->next =
      now + Millis(least * this->stretch * (1 + kJitter * this->Chance()));
}

SearchBackoff::SearchBackoff(std::uint64_t seed) : random(Seeded(seed)) {}

milliseconds SearchBackoff::Next() {
  constexpr double kLeast = 0.75;
  constexpr double kJitter = 0.5;
  return Millis(static_cast<double>(this->pause.count()) *
                (kLeast + kJitter * ChanceOf(this->random)));
}

void SearchBackoff::Ended(bool read) {
  if (read) {
    this->pages = std::min(this->pages * 2, kMaxPages);
    this->pause = std::max(this->pause / 2, kMinPause);
  } else {
    this->pages = std::max<std::size_t>(this->pages / 2, 1);
    this->pause = std::min(this->pause * 2, kMaxPause);
  }
}

void SearchBackoff::Found() {
  this->pages = 1;
  this->pause = kMinPause;
}

std::optional<milliseconds> PageRetry::Again(Time now, double chance) {
  if (this->repeats >= this->max_repeats) {
    return std::nullopt;
  }
  const milliseconds longest =
      std::min(kInitialPause * (1 << this->repeats), kMaxPause);
  // At least half of it: a page requested again at once would be refused again.
  const milliseconds pause =
      Millis(static_cast<double>(longest.count()) * (1 + chance) / 2);
  if (now + pause >= this->begun + kMaxReadTime) {
    return std::nullopt;
  }
  ++this->repeats;
  return pause;
}

bool IsRetryableStatus(int status) {
  return status == kTooMany || status >= kServerError;
}

}  // namespace papayarack::nodes
