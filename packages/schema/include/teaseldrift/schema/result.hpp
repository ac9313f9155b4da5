#pragma once

#include <string>
#include <system_error>

#include "teaseldrift/schema/options.pb.h"
#include "teaseldrift/schema/result_code.pb.h"

namespace teaseldrift::schema {

/// @brief The description that the schema gives for a result code.
/// @return the HTTP status, whether the request ran, and the texts for callers and operators
const ResultInfo &describe(ResultCode code);

/// @brief The error category of all result codes.
const std::error_category &resultCategory() noexcept;

/// @brief Wraps a result code, so that functions can return `std::error_code`.
///
/// ```cpp
/// std::error_code error = makeError(RATE_EXCEEDED);
/// ```
std::error_code makeError(ResultCode code) noexcept;

/// @brief The result code inside an error of resultCategory(), INTERNAL for any other error.
ResultCode resultCodeOf(const std::error_code &error) noexcept;

/// @brief The name of a code as metrics label it, such as "rate_exceeded".
std::string metricLabel(ResultCode code);

/// @brief The name of a retry reason as metrics label it, such as "connect_failed".
std::string metricLabel(RetryReason reason);

/// @brief docs/RESULT_CODES.md as text.
std::string resultCodesPage();

} // namespace teaseldrift::schema
