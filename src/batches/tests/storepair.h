#ifndef PAPAYARACK_BATCHES_TESTS_STOREPAIR_H_
#define PAPAYARACK_BATCHES_TESTS_STOREPAIR_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <list>

#include "batches/tests/storemember.h"

namespace papayarack::batches {

using std::chrono::milliseconds;

/// The members' loops run in turn, each for this long.
inline constexpr milliseconds kSlice{5};
/// Test timeout. An election takes 0.15 to 1.2 s, so a test that takes this
/// long hangs.
inline constexpr milliseconds kTestTimeout{6000};

/// Two members, so that nothing is committed while one of them is paused.
class StorePair {
 public:
  explicit StorePair(const BatchStoreOptions& options = {}) {
    this->members.emplace_back(1);
    this->members.emplace_back(2);
    const consensus::MemberList founders{
        {{1, this->members.front().Address(), true},
         {2, this->members.back().Address(), true}}};
    for (StoreMember& member : this->members) {
      member.Start(founders, options);
    }
    this->RunUntil([this] {
      return this->members.front().leads || this->members.back().leads;
    });
    REQUIRE((this->members.front().leads || this->members.back().leads));
  }

  StoreMember& Leader() {
    return this->members.front().leads ? this->members.front()
                                       : this->members.back();
  }

  StoreMember& Follower() {
    return this->members.front().leads ? this->members.back()
                                       : this->members.front();
  }

  std::list<StoreMember>& Members() { return this->members; }

  void RunUntil(const std::function<bool()>& done) {
    const Time until = MonotonicNow() + kTestTimeout;
    while (!done() && MonotonicNow() < until) {
      for (StoreMember& member : this->members) {
        member.Run(kSlice);
      }
    }
  }

  void RunAll(milliseconds time) {
    const Time until = MonotonicNow() + time;
    this->RunUntil([until] { return MonotonicNow() >= until; });
  }

  /// Runs only the leader for `time`; the other member is paused.
  void RunLeaderAlone(milliseconds time) {
    const Time until = MonotonicNow() + time;
    while (MonotonicNow() < until) {
      this->Leader().Run(kSlice);
    }
  }

 private:
  std::list<StoreMember> members;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_TESTS_STOREPAIR_H_
