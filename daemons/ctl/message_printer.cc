#include "daemons/ctl/message_printer.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"
#include "google/protobuf/descriptor.h"
#include "google/protobuf/util/json_util.h"
#include "src/rpc/proto_convert.h"

namespace wisteriareel::ctl {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

using TableRow = std::vector<std::string>;

constexpr char kColumnGap[] = "  ";

// Returns "ran" for VERDICT_RAN of the enumeration Verdict.
std::string ShortName(const EnumValueDescriptor& value) {
  std::string prefix;
  for (const char c : value.type()->name()) {
    if (absl::ascii_isupper(static_cast<unsigned char>(c)) && !prefix.empty()) {
      prefix += '_';
    }
    prefix += absl::ascii_toupper(static_cast<unsigned char>(c));
  }
  return absl::AsciiStrToLower(value.name().substr(prefix.size() + 1));
}

// Formats a Timestamp or Duration into `*out`. Returns false for other types.
bool FormatAsSingleValue(const Message& message, std::string* out) {
  if (const auto* time =
          dynamic_cast<const google::protobuf::Timestamp*>(&message)) {
    *out = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", FromProto(*time),
                            absl::UTCTimeZone());
    return true;
  }
  if (const auto* duration =
          dynamic_cast<const google::protobuf::Duration*>(&message)) {
    *out = absl::FormatDuration(
        absl::Trunc(FromProto(*duration), absl::Milliseconds(1)));
    return true;
  }
  return false;
}

// Returns `text` in C escapes if it holds control characters. Texts come from
// operators and callers, and control characters could manipulate the terminal.
std::string EscapeControlCharacters(const std::string& text) {
  const bool printable = std::none_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_iscntrl(static_cast<unsigned char>(c));
  });
  return printable ? text : absl::CEscape(text);
}

// Returns a scalar field, or element `n` of a repeated scalar field.
std::string FormatScalar(const Message& message, const FieldDescriptor* field,
                         int n) {
  const Reflection* reflection = message.GetReflection();
  const bool repeated = field->is_repeated();
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return EscapeControlCharacters(
          repeated ? reflection->GetRepeatedString(message, field, n)
                   : reflection->GetString(message, field));
    case FieldDescriptor::CPPTYPE_BOOL:
      return reflection->GetBool(message, field) ? "yes" : "no";
    case FieldDescriptor::CPPTYPE_ENUM:
      return ShortName(*reflection->GetEnum(message, field));
    case FieldDescriptor::CPPTYPE_INT64:
      return absl::StrCat(reflection->GetInt64(message, field));
    case FieldDescriptor::CPPTYPE_UINT64:
      return absl::StrCat(reflection->GetUInt64(message, field));
    case FieldDescriptor::CPPTYPE_UINT32:
      return absl::StrCat(reflection->GetUInt32(message, field));
    default:
      return "?";
  }
}

bool IsMessage(const FieldDescriptor* field) {
  return field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
}

// Returns a field as the text of one table cell.
std::string FormatCell(const Message& message, const FieldDescriptor* field) {
  const Reflection* reflection = message.GetReflection();
  if (field->is_repeated()) {
    std::vector<std::string> values;
    const int size =
        IsMessage(field) ? 0 : reflection->FieldSize(message, field);
    values.reserve(static_cast<std::size_t>(size));
    for (int n = 0; n < size; ++n) {
      values.push_back(FormatScalar(message, field, n));
    }
    return absl::StrJoin(values, ",");
  }
  if (!IsMessage(field)) return FormatScalar(message, field, 0);
  if (!reflection->HasField(message, field)) return "-";
  const Message& nested = reflection->GetMessage(message, field);
  std::string value;
  if (FormatAsSingleValue(nested, &value)) return value;
  return nested.ShortDebugString();
}

// Returns the rows as lines with aligned columns. `rows` must not be empty.
std::string FormatRows(const std::vector<TableRow>& rows,
                       const std::string& indent) {
  std::vector<std::size_t> widths(rows.front().size(), 0);
  for (const TableRow& row : rows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string text;
  for (const TableRow& row : rows) {
    std::string line = indent;
    for (std::size_t n = 0; n < row.size(); ++n) {
      const std::string cell = row[n].empty() ? "-" : row[n];
      line += cell;
      line += std::string(widths[n] > cell.size() ? widths[n] - cell.size() : 0,
                          ' ');
      line += kColumnGap;
    }
    absl::StrAppend(&text, absl::StripTrailingAsciiWhitespace(line), "\n");
  }
  return text;
}

std::string FormatTable(const Message& message, const FieldDescriptor* field,
                        const std::string& indent) {
  const Descriptor* type = field->message_type();
  std::vector<TableRow> rows(1);
  for (int n = 0; n < type->field_count(); ++n) {
    rows[0].push_back(absl::AsciiStrToUpper(type->field(n)->name()));
  }
  const Reflection* reflection = message.GetReflection();
  const int size = reflection->FieldSize(message, field);
  for (int n = 0; n < size; ++n) {
    const Message& element = reflection->GetRepeatedMessage(message, field, n);
    TableRow& row = rows.emplace_back();
    for (int i = 0; i < type->field_count(); ++i) {
      row.push_back(FormatCell(element, type->field(i)));
    }
  }
  return FormatRows(rows, indent);
}

std::string FormatBlock(const Message& message, const std::string& indent) {
  const Descriptor* type = message.GetDescriptor();
  const Reflection* reflection = message.GetReflection();
  std::string text;
  for (int n = 0; n < type->field_count(); ++n) {
    const FieldDescriptor* field = type->field(n);
    if (field->name() == "next_page_token") continue;
    if (IsMessage(field) && field->is_repeated()) {
      absl::StrAppend(&text, indent, field->name(), ":\n",
                      FormatTable(message, field, indent + kColumnGap));
      continue;
    }
    std::string value;
    const bool nested =
        IsMessage(field) && reflection->HasField(message, field) &&
        !FormatAsSingleValue(reflection->GetMessage(message, field), &value);
    if (nested) {
      absl::StrAppend(&text, indent, field->name(), ":\n",
                      FormatBlock(reflection->GetMessage(message, field),
                                  indent + kColumnGap));
      continue;
    }
    absl::StrAppend(&text, indent, field->name(), ": ",
                    FormatCell(message, field), "\n");
  }
  return text;
}

}  // namespace

std::string ToJson(const Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &text, options);
  return status.ok() ? text : message.ShortDebugString();
}

std::string ToTable(const Message& message) { return FormatBlock(message, ""); }

}  // namespace wisteriareel::ctl
