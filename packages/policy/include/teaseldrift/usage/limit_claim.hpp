#pragma once

#include <optional>
#include <string>
#include <vector>

#include "teaseldrift/base/time.hpp"

namespace teaseldrift {

/// @brief A VM that could own a limit.
struct LimitCandidate
{
    std::string vm;
    /// Time since the VM was in the list of VMs.
    Duration age{0};
};

/// @brief A VM's reply to another VM that claims the ownership of a limit.
struct LimitClaimReply
{
    enum class Outcome {
        NotOwner,
        /// The VM owned the limit and no longer does.
        HandedOver,
        /// The VM owns the limit, or claims it itself and precedes the claimant.
        Refused,
    };

    Outcome outcome = Outcome::NotOwner;
    /// Owner of the limit as far as the VM knows; may be empty.
    std::string owner = {};
    /// Units left in the limiter of a VM that owned the limit within the last window.
    std::optional<double> level = {};
    /// The VM started within the last window; its earlier incarnation may have granted units.
    bool startedRecently = false;
    /// VM whose ownership of the limit this VM has extended; empty if there is none.
    std::string extendedOwner = {};
    /// The first VMs in rendezvous order that the VM knows of, including those that left the list.
    std::vector<LimitCandidate> candidates = {};
};

/// @brief How a claim fared at one VM.
struct LimitClaimResult
{
    std::string vm;
    /// Empty if the VM did not reply.
    std::optional<LimitClaimReply> reply = {};
    /// No process listens at the VM's address.
    bool isProcessGone = false;
};

/// @brief VMs to ask for an extension of the ownership of limits.
struct ExtensionQuery
{
    std::vector<std::string> vms;
    std::vector<std::string> organisations;
};

/// @brief A limit that its owner offers to another VM.
struct LimitOffer
{
    std::string organisation;
    std::string vm;
};

/// @brief What became of a claim.
enum class LimitClaimOutcome {
    /// This VM owns the limit; the former owner has handed it over.
    HandedOver,
    /// This VM owns the limit; no other VM does.
    Unowned,
    /// Another VM owns the limit.
    OwnedByOther,
    /// A VM that may own the limit does not reply.
    Blocked,
};

} // namespace teaseldrift
