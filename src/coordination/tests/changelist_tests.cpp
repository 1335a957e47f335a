#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/changelist.h"

namespace papayarack::coordination {
namespace {

struct Listed {
  std::string key;
  int zone = 0;
  int load = 0;
  bool operator==(const Listed&) const = default;
};

/// A reader: the zone that it wants (none: all), its items and their revision.
struct Reader {
  std::optional<int> zone;
  std::vector<Listed> held;
  std::uint64_t revision = 0;

  auto Wanted() const {
    return [zone = this->zone](const Listed& item) {
      return !zone.has_value() || item.zone == *zone;
    };
  }
};

/// The list under test, a reference model, and readers that update now and
/// then.
class ListModel {
 public:
  explicit ListModel(bool zones_change) : zones_change(zones_change) {
    for (const std::optional<int> zone :
         {std::optional<int>(), std::optional<int>(0), std::optional<int>(1),
          std::optional<int>(2)}) {
      // Two readers for each zone, which update at different times.
      this->readers.push_back({zone, {}, 0});
      this->readers.push_back({zone, {}, 0});
    }
  }

  void Do(std::uint32_t step) {
    constexpr std::uint32_t kKeys = 12;
    const std::string key = "k" + std::to_string(step % kKeys);
    const std::uint32_t kind = (step / kKeys) % 100;
    const int load = static_cast<int>(step / kKeys / 100 % 3);
    const int zone = this->zones_change
                         ? static_cast<int>(step / kKeys / 300 % 3)
                         : static_cast<int>(step % kKeys % 3);
    if (kind < 40) {
      const Listed item{key, zone, load};
      const auto found = this->model.find(key);
      const bool same = found != this->model.end() && found->second == item;
      RC_ASSERT(this->list.Set(key, item) == !same);
      this->model[key] = item;
    } else if (kind < 65) {
      RC_ASSERT(this->list.Remove(key) == (this->model.erase(key) > 0));
    } else if (kind < 67) {
      this->list.Clear();
      this->model.clear();
    } else if (kind < 69) {
      this->list.RequireFullList();
    } else if (kind < 71) {
      this->RemoveMany();
    } else {
      this->Ask(this->readers.at(step / kKeys / 100 % this->readers.size()));
    }
  }

  void AskAll() {
    for (Reader& reader : this->readers) {
      this->Ask(reader);
    }
  }

 private:
  void RemoveMany() {
    constexpr int kMany = 1100;  ///< More than the list keeps tombstones for.
    for (int i = 0; i < kMany; ++i) {
      const std::string key = "many" + std::to_string(i);
      this->list.Set(key, {key, 1, 0});
      this->list.Remove(key);
    }
  }

  void Ask(Reader& reader) {
    const auto wanted = reader.Wanted();
    std::vector<Listed> expected;
    for (const auto& [key, item] : this->model) {
      if (wanted(item)) {
        expected.push_back(item);
      }
    }
    if (reader.revision != 0 &&
        !this->list.ChangedSince(reader.revision, wanted)) {
      RC_ASSERT(reader.held == expected);
    }
    ApplyChanges(reader.held, this->list.Since(reader.revision, wanted),
                 [](const Listed& item) { return item.key; });
    reader.revision = this->list.revision();
    RC_ASSERT(reader.held == expected);
    RC_ASSERT_FALSE(this->list.ChangedSince(reader.revision, wanted));
  }

  bool zones_change;
  ChangeList<Listed, &Listed::zone> list;
  std::map<std::string, Listed> model;
  std::vector<Reader> readers;
};

void RunRandomSteps(bool zones_change) {
  const auto length = *rc::gen::inRange<std::size_t>(1, 200);
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      length, rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
  ListModel model(zones_change);
  for (const std::uint32_t step : steps) {
    model.Do(step);
  }
  model.AskAll();
}

}  // namespace

TEST_CASE("a reader that applies changes has the same items as the list") {
  SECTION("after any sequence of changes") {
    CHECK(rc::check("items keep their zone", [] { RunRandomSteps(false); }));
  }
  // Guards against a reader that keeps an item whose new zone it does not want.
  // The item is set, or removed and set again, with another zone, and only
  // items that the reader still wants counted as changes.
  SECTION("also if items move to other readers") {
    CHECK(rc::check("items change their zone", [] { RunRandomSteps(true); }));
  }
  SECTION("and receives only changes") {
    const auto all = [](const Listed&) { return true; };
    ChangeList<Listed, &Listed::zone> list;
    list.Set("a", {"a", 0, 0});
    list.Set("b", {"b", 0, 0});
    const std::uint64_t before = list.revision();
    SECTION("an item that is set") {
      CHECK(list.Set("b", {"b", 0, 1}));
      const ListChanges<Listed> changes = list.Since(before, all);
      CHECK_FALSE(changes.whole);
      CHECK(changes.set == std::vector<Listed>{{"b", 0, 1}});
      CHECK(changes.removed.empty());
    }
    SECTION("a key that is removed") {
      CHECK(list.Remove("a"));
      CHECK_FALSE(list.Remove("a"));
      const ListChanges<Listed> changes = list.Since(before, all);
      CHECK(changes.set.empty());
      CHECK(changes.removed == std::vector<std::string>{"a"});
    }
    SECTION("nothing if an equal item is set") {
      CHECK_FALSE(list.Set("b", {"b", 0, 0}));
      CHECK_FALSE(list.ChangedSince(before, all));
    }
    SECTION("the complete list if too many were removed") {
      constexpr int kMany = 1001;
      for (int i = 0; i < kMany; ++i) {
        list.Set("x", {"x", 0, i});
        list.Set("x" + std::to_string(i), {"x", 0, i});
        list.Remove("x" + std::to_string(i));
      }
      CHECK(list.Since(before, all).whole);
      CHECK_FALSE(list.Since(list.revision(), all).whole);
    }
    SECTION("the complete list for a revision from the future") {
      CHECK(list.Since(before + 1, all).whole);
    }
  }
}

}  // namespace papayarack::coordination
