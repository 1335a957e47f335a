#ifndef PAPAYARACK_JOBS_ITEMLINE_H_
#define PAPAYARACK_JOBS_ITEMLINE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "global/resultcode.h"

namespace papayarack::jobs {

/// One line of a batch input file.
struct ItemLine {
  std::string custom_id;
  std::string url;
  nlohmann::json body;
};

/// Parses one line. Throws ResultError(kBadInput) that names `line_number` and
/// the field.
ItemLine ParseItemLine(std::string_view line, std::size_t line_number);

/// Limits of a batch input file.
struct InputLimits {
  std::size_t max_items = 63000;
  std::size_t max_line_bytes = 1U << 20U;
};

/// Checks a whole file: every line must be a valid item and every custom_id
/// unique. Returns the number of items. Throws ResultError(kBadInput,
/// kTooLarge) that names the line and the field.
std::size_t CheckInputFile(std::string_view content, const InputLimits& limits);

/// Returns the output line of an item that was answered.
std::string OutputLine(std::string_view job, std::uint32_t item,
                       std::string_view custom_id, int status,
                       const nlohmann::json& body);

/// Returns the error line of an item that failed.
std::string ErrorLine(std::string_view job, std::uint32_t item,
                      std::string_view custom_id, ResultCode code,
                      std::string_view reason);

}  // namespace papayarack::jobs

#endif  // PAPAYARACK_JOBS_ITEMLINE_H_
