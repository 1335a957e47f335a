#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "origins/continuation.h"
#include "origins/originhomes.h"
#include "origins/originlookup.h"
#include "origins/originstore.h"

namespace papayarack::origins {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kKeepMs = 60000;
constexpr std::size_t kEntries = 3;
constexpr std::size_t kSteps = 200;

int Draw(int end) { return *rc::gen::inRange(0, end); }

/// Entries and homes whose messages are lost, late and repeated, while homes
/// restart empty, join, leave, and get the address of a former one, and entries
/// learn of that late.
class Model {
 public:
  Model() {
    for (int i = 0; i < 5; ++i) {
      this->Join("h" + std::to_string(i));
    }
    for (auto& view : this->views) {
      view = this->Present();
    }
  }

  void Step() {
    this->now += milliseconds(Draw(20));
    switch (Draw(10)) {
      case 0:
      case 1:
      case 2:
        return this->Begin();
      case 3:
      case 4:
      case 5:
        return this->DeliverSome();
      case 6:
        return this->ChangeHomes();
      case 7:
        this->views[static_cast<std::size_t>(Draw(kEntries))] = this->Present();
        return;
      default:
        return this->TakeUp();
    }
  }

 private:
  struct Home {
    std::string zone;
    OriginStore store;
  };
  struct Letter {
    std::string home;
    RecordOrigin record;
  };

  std::vector<HomeOption> Present() const {
    std::vector<HomeOption> present;
    for (const auto& [address, home] : this->homes) {
      present.push_back({address, home.zone});
    }
    return present;
  }

  void Join(const std::string& address) {
    this->homes.erase(address);
    this->homes[address].zone = "z" + std::to_string(Draw(3));
  }

  /// The first event of a new stream is about to reach its caller. Its entry
  /// does not know the software of a replica that the list does not show yet.
  void Begin() {
    const std::string request = "r" + std::to_string(this->began.size());
    const bool listed = Draw(4) > 0;
    const ReplicaSoftware software =
        listed ? ReplicaSoftware{"llm", "v" + std::to_string(Draw(3))}
               : ReplicaSoftware{};
    this->began[request] = software;
    const auto& view = this->views[static_cast<std::size_t>(Draw(kEntries))];
    for (const std::string& home : HomesToRecord(request, view)) {
      for (int copies = Draw(3); copies > 0; --copies) {
        this->letters.push_back({home, {request, software, kKeepMs}});
      }
    }
  }

  void DeliverSome() {
    for (int i = 0; i < 3 && !this->letters.empty(); ++i) {
      const auto chosen =
          this->letters.begin() + Draw(static_cast<int>(this->letters.size()));
      const auto home = this->homes.find(chosen->home);
      if (home != this->homes.end()) {
        home->second.store.Record(chosen->record, this->now);
      }
      // Some stay and arrive again.
      if (Draw(4) > 0) {
        this->letters.erase(chosen);
      }
    }
  }

  void ChangeHomes() {
    const std::string address = "h" + std::to_string(Draw(8));
    if (Draw(3) == 0 && this->homes.size() > 1) {
      this->homes.erase(address);
    } else {
      this->Join(address);  // New, or another process at the same address.
    }
  }

  void TakeUp() {
    if (this->began.empty()) {
      return;
    }
    const auto stream = std::next(this->began.begin(),
                                  Draw(static_cast<int>(this->began.size())));
    const auto& view = this->views[static_cast<std::size_t>(Draw(kEntries))];
    const std::vector<std::string> ask = HomesToAsk(stream->first, view);
    OriginLookup lookup(ask, this->now);
    bool reached_one_that_knows = false;
    for (const std::string& address : ask) {
      const auto home = this->homes.find(address);
      const bool reached = home != this->homes.end() && Draw(4) > 0;
      if (!reached) {
        lookup.Failed(address);
        continue;
      }
      const FoundOrigin reply =
          home->second.store.Find(stream->first, this->now);
      reached_one_that_knows |= reply.Recorded();
      for (int copies = 1 + Draw(2); copies > 0; --copies) {
        lookup.Answered(address, reply);
      }
    }
    const auto result = lookup.Result(this->now);
    RC_ASSERT(result.has_value());
    RC_ASSERT(result->Recorded() == reached_one_that_knows);
    RC_ASSERT(!result->Recorded() || result->software == stream->second);
    // All that the list shows, where the stream began elsewhere.
    const ReplicaSoftware sole{"llm", "listed"};
    const std::vector<std::string> services = {"llm"};
    const Continuation decision = DecideContinuation({*result, sole}, services);
    const auto* goes_on = std::get_if<ContinueWith>(&decision);
    const bool joined = goes_on != nullptr && result->Recorded() &&
                        goes_on->software != stream->second;
    RC_ASSERT_FALSE(joined);
  }

  Time now = Time(std::chrono::seconds(100));
  std::map<std::string, Home> homes;
  std::vector<HomeOption> views[kEntries];  ///< What each entry knows.
  std::vector<Letter> letters;
  std::map<std::string, ReplicaSoftware> began;
};

}  // namespace

// Guards against a stream that goes on at a software that did not begin it, or
// that is refused although a home that knows its origin was reached.
TEST_CASE("a found origin is the right one in any order of events") {
  CHECK(rc::check("origins", [] {
    Model model;
    for (std::size_t i = 0; i < kSteps; ++i) {
      model.Step();
    }
  }));
}

}  // namespace papayarack::origins
