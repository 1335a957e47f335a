#include <catch2/catch.hpp>

#include "gate/answerassembler.h"
#include "global/resultcode.h"

namespace papayarack::gate {

TEST_CASE("the event stream of an engine") {
  const std::string stream =
      "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"in \"}}]}\n\n"
      "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":\"stock\"},"
      "\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n";
  AnswerAssembler answer;
  SECTION("is assembled from any split of its bytes") {
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
  SECTION("that ends without its closing event is incomplete") {
    answer.Add(stream);
    CHECK_FALSE(answer.Whole());
  }
  SECTION("that is not JSON is an error") {
    CHECK_THROWS_AS(answer.Add("data: {broken\n\n"), ResultError);
  }
  SECTION("is continued from the text of an earlier run") {
    AnswerAssembler earlier;
    earlier.Add("data: {\"choices\":[{\"text\":\"first \"}]}\n\n");
    answer.StartFrom(earlier);
    answer.Add(stream);
    CHECK(answer.Text() == "first in stock");
    CHECK(answer.Tokens() == 3);
  }
}

}  // namespace papayarack::gate
