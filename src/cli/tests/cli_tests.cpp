#include <array>
#include <catch2/catch.hpp>

#include "cli/commandtable.h"
#include "global/resultcode.h"

namespace papayarack::cli {

TEST_CASE("a command table runs commands") {
  Arguments seen;
  CommandTable table;
  table.Add({"job",
             "ID",
             "shows a job",
             {{"entry", "HOST:PORT", "where"}, {"json", "", "as JSON"}},
             [&seen](const Arguments& arguments) {
               seen = arguments;
               if (arguments.Has("json")) {
                 throw ResultError(ResultCode::kConflict, "no");
               }
               return ExitCode::kOk;
             }});
  SECTION("passes options and operands to the command") {
    const std::array<const char*, 5> line = {"papayarack", "job", "--entry",
                                             "a:1", "id-1"};
    CHECK(table.Run(line) == 0);
    CHECK(seen.Get("entry") == "a:1");
    CHECK(seen.operands == std::vector<std::string>{"id-1"});
    CHECK(seen.Get("absent", "x") == "x");
  }
  SECTION("maps a result code to an exit code") {
    const std::array<const char*, 3> line = {"papayarack", "job", "--json"};
    CHECK(table.Run(line) == static_cast<int>(ExitCode::kConflict));
  }
  SECTION("rejects unknown commands and options") {
    const std::array<const char*, 2> unknown = {"papayarack", "jab"};
    CHECK(table.Run(unknown) == static_cast<int>(ExitCode::kUsage));
    const std::array<const char*, 3> option = {"papayarack", "job", "--jsn"};
    CHECK(table.Run(option) == static_cast<int>(ExitCode::kUsage));
  }
}

}  // namespace papayarack::cli
