#include "nodes/logthrottle.h"

namespace papayarack::nodes {

bool LogThrottle::Due(std::string_view text, Time now) {
  if (text.empty()) {
    this->logged.clear();
    return false;
  }
  const bool just_logged =
      this->logged_at != Time{} && now - this->logged_at < kMinInterval;
  if (text == this->logged || just_logged) {
    return false;
  }
  this->logged = text;
  this->logged_at = now;
  return true;
}

}  // namespace papayarack::nodes
