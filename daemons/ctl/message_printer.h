#ifndef WISTERIAREEL_DAEMONS_CTL_MESSAGE_PRINTER_H_
#define WISTERIAREEL_DAEMONS_CTL_MESSAGE_PRINTER_H_

#include <string>

#include "google/protobuf/message.h"

// Formats messages of any type by reflection. Pure functions.
namespace wisteriareel::ctl {

// Returns `message` as indented JSON with all its fields.
std::string ToJson(const google::protobuf::Message& message);

// Returns `message` as readable text: "name: value" lines, nested messages as
// indented blocks, lists of messages as tables with one column per field.
std::string ToTable(const google::protobuf::Message& message);

}  // namespace wisteriareel::ctl

#endif  // WISTERIAREEL_DAEMONS_CTL_MESSAGE_PRINTER_H_
