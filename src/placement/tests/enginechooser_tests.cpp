#include <catch2/catch.hpp>

#include "placement/enginechooser.h"

namespace papayarack::placement {
namespace {

Time At(int milliseconds) {
  return Time(std::chrono::seconds(100) +
              std::chrono::milliseconds(milliseconds));
}

std::vector<EngineOption> Fleet(int count) {
  std::vector<EngineOption> options;
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    options.push_back({"e" + number, "id" + number, "g" + number, "z", 8});
  }
  return options;
}

}  // namespace

TEST_CASE("an engine that is reported full is not chosen first") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  for (int i = 0; i < 50; ++i) {
    chooser.Reported("e0", {8, 2}, At(0));
    chooser.Reported("e1", {2, 0}, At(0));
    CHECK(chooser.Choose("llm", "z", {}, At(1))->address == "e1");
  }
}

// Load: a burst from one entry that knows nothing of the others. Its own use is
// all that it can go by, and it must not all land at one engine.
TEST_CASE("a burst is spread by the entry's own use") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(12));
  std::map<std::string, int> counts;
  for (int i = 0; i < 96; ++i) {
    const auto option = chooser.Choose("llm", "z", {}, At(i));
    chooser.Started(option->address);
    ++counts[option->address];
  }
  CHECK(counts.size() == 12);
  for (const auto& [address, count] : counts) {
    CHECK(count <= 10);
  }
}

// Load: a trough, in which all engines have room. Bytes of streams should stay
// in the zone, but not at the price of a fuller engine.
TEST_CASE("of equally busy engines one of the own zone is chosen") {
  std::vector<EngineOption> options = Fleet(4);
  options[3].zone = "own";
  EngineChooser chooser(1);
  chooser.SetOptions("llm", options);
  for (int i = 0; i < 50; ++i) {
    for (const EngineOption& option : options) {
      chooser.Reported(option.address, {3, 0}, At(0));
    }
    CHECK(chooser.Choose("llm", "own", {}, At(0))->address == "e3");
    chooser.Reported("e3", {5, 0}, At(0));
    CHECK(chooser.Choose("llm", "own", {}, At(0))->address != "e3");
  }
}

TEST_CASE("an engine that failed is set aside, and let back") {
  EngineChooser chooser(1);
  chooser.SetOptions("llm", Fleet(2));
  chooser.Failed("e0", At(0));
  CHECK(chooser.Choose("llm", "z", {}, At(100))->address == "e1");
  CHECK(chooser.AsideUntil("e0") < At(500));
  SECTION("for longer after each failure in a row") {
    for (int i = 0; i < 10; ++i) {
      chooser.Failed("e0", At(0));
    }
    CHECK(chooser.AsideUntil("e0") == At(4000));
    chooser.Succeeded("e0");
    CHECK(chooser.AsideUntil("e0") < At(0));
  }
  SECTION("but still chosen when there is no other") {
    CHECK(chooser.Choose("llm", "z", {"e1"}, At(100))->address == "e0");
    CHECK_FALSE(chooser.Choose("llm", "z", {"e0", "e1"}, At(100)).has_value());
  }
}

}  // namespace papayarack::placement
