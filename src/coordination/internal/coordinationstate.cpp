#include "coordination/coordinationstate.h"

#include "coordination/configurationchange.h"
#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::coordination {

void CoordinationState::Apply(std::string_view command) {
  try {
    const auto decoded = DecodeVariant<CoordinationCommand>(command);
    std::visit([this](const auto& body) { this->Do(body); }, decoded);
  } catch (const ResultError& error) {
    // All members skip the same malformed command, so their states stay equal.
    Log(LogLevel::kError, "command_unreadable", {{"text", error.what()}});
  }
}

void CoordinationState::Do(const SubmitConfiguration& command) {
  if (command.version > this->data.version) {
    this->data.version = command.version;
    this->data.text = command.text;
  }
}

void CoordinationState::Do(const ChangeConfiguration& command) {
  if (command.manifest.version <= this->data.version) {
    return;
  }
  std::optional<std::string> text = ChangedText(this->data.text, command);
  if (!text.has_value()) {
    // The leader applied it to the same text before proposing it.
    Log(LogLevel::kError, "configuration_change_unusable",
        {{"config_version", command.manifest.version},
         {"held_version", this->data.version}});
    return;
  }
  this->data.version = command.manifest.version;
  this->data.text = std::move(*text);
}

void CoordinationState::Do(const FoundJobGroup& command) {
  if (this->data.job_founders.members.empty()) {
    this->data.job_founders = command.members;
  }
}

void CoordinationState::Do(const EmptyStore& command) {
  this->data.leaving.insert(command.name);
}

void CoordinationState::Do(const SetCreditReserves& command) {
  this->data.keeps_reserves = true;
  for (const auto& [organisation, amount] : command.reserves) {
    if (amount == 0) {
      this->data.credit_reserves.erase(organisation);
    } else {
      this->data.credit_reserves[organisation] = amount;
    }
  }
}

std::string CoordinationState::Save() const {
  return EncodeMessage(this->data);
}

void CoordinationState::Load(std::string_view bytes) {
  this->data = DecodeMessage<Data>(bytes);
}

}  // namespace papayarack::coordination
