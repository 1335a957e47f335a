#ifndef PAPAYARACK_GATE_ANSWERASSEMBLER_H_
#define PAPAYARACK_GATE_ANSWERASSEMBLER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace papayarack::gate {

/// Follows the server-sent events of one engine answer: counts tokens, knows
/// whether the answer is whole, and puts the pieces together for callers that
/// did not ask for a stream. Thread safety: none, one owner.
class AnswerAssembler {
 public:
  /// Adds bytes as they come. Returns the number of token events that they
  /// completed. Throws ResultError(kProtocol) for an event that is not JSON.
  std::size_t Add(std::string_view bytes);
  /// True after the closing event; an answer without it was cut.
  bool Whole() const { return this->done; }
  /// The whole answer as one object, in the form of a call without streaming.
  nlohmann::json Assemble() const;
  /// Text received so far; with it a preempted stream is taken up again.
  const std::string& Text() const { return this->text; }
  std::size_t Tokens() const { return this->tokens; }
  /// Starts with text that an earlier run of the same work has already
  /// received.
  void StartFrom(std::string text, std::size_t tokens);

 private:
  bool AddEvent(std::string_view data);

  std::string pending;
  std::string text;
  std::string finish_reason;
  nlohmann::json first;
  nlohmann::json usage;
  std::size_t tokens = 0;
  bool chat = false;
  bool done = false;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_ANSWERASSEMBLER_H_
