#pragma once

namespace teaseldrift::ctl {

/// @brief Exit codes of teaseldriftctl.
enum class ExitCode {
    Ok = 0,
    /// The command failed and changed nothing.
    Failure = 1,
    /// The command line or the document is invalid.
    Usage = 2,
    /// A concurrent change was written first.
    Conflict = 3,
    /// It is unknown whether the change took effect, or not all VMs have applied it yet.
    Unconfirmed = 4,
};

} // namespace teaseldrift::ctl
