#ifndef WISTERIAREEL_SRC_FORWARD_TOKEN_LOAN_H_
#define WISTERIAREEL_SRC_FORWARD_TOKEN_LOAN_H_

#include <cstdint>
#include <string>

#include "wisteriareel/types.h"

namespace wisteriareel {

// Why tokens are requested from another instance.
enum class LoanKind : std::uint8_t {
  // Requests wait for them.
  kNeeded,
  // The same, but the home instance doesn't respond: the lender takes its place
  // for a while.
  kNeededFromDeputy,
  // The borrower wants to hold them for when it is cut off.
  kSpare,
  // The home instance has none left: the lender returns its spare tokens.
  kReturn,
};

// A request to another instance to lend tokens.
struct LoanRequest {
  CustomerId customer;
  Tokens amount;
  // A smaller loan covers no waiting request.
  Tokens min_amount;
  // Tokens that the borrower holds already; stated for spare tokens.
  Tokens held;
  // Consumed by delivered responses of the borrower and not yet reported to the
  // platform. The lender reports them.
  Tokens delivered;
  LoanKind kind = LoanKind::kNeeded;
  // The loans between a borrower and a lender are numbered, and each request
  // states what the earlier ones brought, so that the lender takes back the
  // tokens of responses that were lost. Empty if the request is no part of such
  // a sequence.
  std::string borrower_incarnation;
  std::uint64_t sequence = 0;
  // All tokens that the borrower received from the lender.
  Tokens received;
  // The platform can't grant the tokens. Any instance may lend any amount.
  bool from_any_instance = false;

  friend bool operator==(const LoanRequest&, const LoanRequest&) = default;
};

// What a borrower can expect from a lender that can't lend enough now.
enum class LoanAvailability : std::uint8_t {
  // The lender has requested more from the platform or from other instances and
  // will have it shortly.
  kSoon,
  // The platform has no tokens left to grant, and no instance returned any.
  kPoolEmpty,
  // Delivered responses consumed so much that the request can't be covered.
  kExhausted,
  // The lender can't reach the platform or isn't the customer's home instance.
  kNone,
};

// The response to a request for a loan.
struct Loan {
  Tokens amount;
  // Meaningful only if `amount` is too small.
  LoanAvailability availability = LoanAvailability::kNone;

  friend bool operator==(const Loan&, const Loan&) = default;
};

// Tokens that move permanently to another instance.
struct TokenTransfer {
  CustomerId customer;
  Tokens amount;

  friend bool operator==(const TokenTransfer&, const TokenTransfer&) = default;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_TOKEN_LOAN_H_
