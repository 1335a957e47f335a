#include <catch2/catch.hpp>

#include "gate/answerassembler.h"
#include "global/resultcode.h"

namespace papayarack::gate {

TEST_CASE("an engine's stream of events") {
  const std::string stream =
      "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"in \"}}]}\n\n"
      "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"stock\"},"
      "\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n";
  AnswerAssembler answer;
  SECTION("is put together however its bytes arrive") {
    std::size_t tokens = 0;
    for (const char byte : stream + "data: [DONE]\n\n") {
      tokens += answer.Add(std::string_view(&byte, 1));
    }
    CHECK(tokens == 2);
    CHECK(answer.Whole());
    const nlohmann::json whole = answer.Assemble();
    CHECK(whole["choices"][0]["message"]["content"] == "in stock");
    CHECK(whole["choices"][0]["finish_reason"] == "stop");
    CHECK(whole["usage"]["completion_tokens"] == 2);
  }
  SECTION("that ends without its closing event is not whole") {
    answer.Add(stream);
    CHECK_FALSE(answer.Whole());
  }
  SECTION("that is not JSON is an error") {
    CHECK_THROWS_AS(answer.Add("data: {broken\n\n"), ResultError);
  }
  SECTION("is taken up where an earlier run stopped") {
    answer.StartFrom("first ", 1);
    answer.Add(stream);
    CHECK(answer.Text() == "first in stock");
    CHECK(answer.Tokens() == 3);
  }
}

}  // namespace papayarack::gate
