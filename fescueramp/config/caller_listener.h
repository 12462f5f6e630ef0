#pragma once

namespace fescueramp {

/// Name of the listener object with the limits of the callers' port; others are not used.
inline constexpr const char* kCallerListener = "callers";

}  // namespace fescueramp
