#pragma once

#include <stdexcept>
#include <string>

#include "fescueramp/core/result_code.h"

namespace fescueramp {

/// Exception with a result code and a description of the problem.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& text) : std::runtime_error(text), m_code(code) {}

  ResultCode Code() const { return m_code; }

 private:
  ResultCode m_code;
};

}  // namespace fescueramp
