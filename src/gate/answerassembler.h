#ifndef PAPAYARACK_GATE_ANSWERASSEMBLER_H_
#define PAPAYARACK_GATE_ANSWERASSEMBLER_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace papayarack::gate {

/// Parses the server-sent events of one engine answer: counts tokens, detects
/// whether the answer is complete, and assembles the text for callers that did
/// not request a stream. Thread safety: none, one owner.
class AnswerAssembler {
 public:
  /// Adds received bytes. Returns the number of token events that they
  /// completed. Throws ResultError(kProtocol) for an event that is not JSON.
  std::size_t Add(std::string_view bytes);
  /// True after the closing event; an answer without it was truncated.
  bool Whole() const { return this->done; }
  /// The answer as one object, as a request without streaming returns it.
  nlohmann::json Assemble() const;
  /// Text received so far, with which a preempted run is resumed.
  const std::string& Text() const { return this->text; }
  std::size_t Tokens() const { return this->tokens; }
  /// Whether events of different `system_fingerprint`s, which identify the
  /// upstream's software, were received, so that the text is of two versions.
  bool Mixed() const { return this->mixed; }
  /// Initializes with what an earlier run of the same work received.
  void StartFrom(const AnswerAssembler& earlier);

 private:
  bool AddEvent(std::string_view data);
  void CheckFingerprint(const nlohmann::json& event);

  std::string pending;
  std::string text;
  std::string finish_reason;
  std::string fingerprint;
  nlohmann::json first;
  nlohmann::json usage;
  std::size_t tokens = 0;
  bool chat = false;
  bool done = false;
  bool mixed = false;
};

}  // namespace papayarack::gate

#endif  // PAPAYARACK_GATE_ANSWERASSEMBLER_H_
