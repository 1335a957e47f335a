#include "organisations/keytrust.h"

namespace papayarack::organisations {

KeyTrust TrustInKeys(const RevocationBound& bound, Time confirmed, Time now) {
  const bool bounded = bound.time > std::chrono::milliseconds(0);
  if (!bounded || now < confirmed + bound.time - kRevocationMargin) {
    return KeyTrust::kCurrent;
  }
  return bound.binds_cut_off ? KeyTrust::kNone : KeyTrust::kKnownOnly;
}

}  // namespace papayarack::organisations
