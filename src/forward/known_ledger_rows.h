#ifndef WISTERIAREEL_SRC_FORWARD_KNOWN_LEDGER_ROWS_H_
#define WISTERIAREEL_SRC_FORWARD_KNOWN_LEDGER_ROWS_H_

#include <map>
#include <string>
#include <vector>

#include "wisteriareel/async_table.h"
#include "wisteriareel/types.h"

namespace wisteriareel {

// A state of a row of the prepaid ledger that the table acknowledged once.
struct KnownLedgerRow {
  CustomerId customer;
  // Key within the customer's partition.
  std::string key;
  // See PrepaidLedger::StateOf.
  TableVersion state;
  std::string value;

  friend bool operator==(const KnownLedgerRow&,
                         const KnownLedgerRow&) = default;
};

// The newest known state of each row of the prepaid ledger. After the table was
// restored from an older copy, the states that all instances know show together
// what the copy lacks; they can be merged in any order. Not thread-safe.
class KnownLedgerRows {
 public:
  // Keeps `row` if it is newer than the known state of the same row.
  void Record(const KnownLedgerRow& row);

  // Returns the rows of `customer`.
  std::vector<KnownLedgerRow> RowsOf(const CustomerId& customer) const;

  std::vector<KnownLedgerRow> AllRows() const;

 private:
  std::map<CustomerId, std::map<std::string, KnownLedgerRow>> rows_;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_FORWARD_KNOWN_LEDGER_ROWS_H_
