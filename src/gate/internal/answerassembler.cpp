#include "gate/answerassembler.h"

#include "global/resultcode.h"

namespace papayarack::gate {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";

}  // namespace

void AnswerAssembler::StartFrom(const AnswerAssembler& earlier) {
  this->text = earlier.text;
  this->tokens = earlier.tokens;
  this->fingerprint = earlier.fingerprint;
  this->mixed = earlier.mixed;
}

void AnswerAssembler::CheckFingerprint(const nlohmann::json& event) {
  const auto member = event.find("system_fingerprint");
  if (member == event.end() || !member->is_string()) {
    return;
  }
  const std::string now = member->get<std::string>();
  this->mixed |= !this->fingerprint.empty() && now != this->fingerprint;
  this->fingerprint = now;
}

std::size_t AnswerAssembler::Add(std::string_view bytes) {
  this->pending.append(bytes);
  std::size_t completed = 0;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = this->pending.find(kEventEnd, start);
    if (end == std::string::npos) {
      break;
    }
    std::string_view event(this->pending.data() + start, end - start);
    start = end + kEventEnd.size();
    if (event.starts_with(kDataPrefix)) {
      completed += this->AddEvent(event.substr(kDataPrefix.size())) ? 1 : 0;
    }
  }
  this->pending.erase(0, start);
  this->tokens += completed;
  return completed;
}

bool AnswerAssembler::AddEvent(std::string_view data) {
  if (data == kDone) {
    this->done = true;
    return false;
  }
  const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
  if (event.is_discarded()) {
    throw ResultError(ResultCode::kProtocol,
                      "the upstream sent an event that is not JSON");
  }
  if (this->first.is_null()) {
    this->first = event;
  }
  this->CheckFingerprint(event);
  if (event.contains("usage") && event["usage"].is_object()) {
    this->usage = event["usage"];
  }
  if (!event.contains("choices") || !event["choices"].is_array() ||
      event["choices"].empty()) {
    return false;
  }
  const nlohmann::json& choice = event["choices"][0];
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    this->finish_reason = choice["finish_reason"].get<std::string>();
  }
  std::string piece;
  if (choice.contains("delta") && choice["delta"].is_object()) {
    this->chat = true;
    piece = choice["delta"].value("content", "");
  } else {
    piece = choice.value("text", "");
  }
  this->text += piece;
  return !piece.empty();
}

nlohmann::json AnswerAssembler::Assemble() const {
  nlohmann::json choice = {{"index", 0},
                           {"finish_reason", this->finish_reason}};
  if (this->chat) {
    choice["message"] = {{"role", "assistant"}, {"content", this->text}};
  } else {
    choice["text"] = this->text;
  }
  nlohmann::json answer = {
      {"object", this->chat ? "chat.completion" : "text_completion"},
      {"choices", nlohmann::json::array({choice})}};
  for (const char* field : {"id", "created", "model"}) {
    if (this->first.contains(field)) {
      answer[field] = this->first[field];
    }
  }
  if (!this->usage.is_null()) {
    answer["usage"] = this->usage;
  }
  return answer;
}

}  // namespace papayarack::gate
