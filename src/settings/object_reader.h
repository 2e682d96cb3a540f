#ifndef WISTERIAREEL_SRC_SETTINGS_OBJECT_READER_H_
#define WISTERIAREEL_SRC_SETTINGS_OBJECT_READER_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "src/settings/settings_problem.h"

namespace wisteriareel::settings {

// Reads one JSON object field by field and collects all problems in it. Fields
// that were never read are reported as unknown when the reader is destroyed.
// Not thread-safe.
class ObjectReader {
 public:
  // `value` and `problems` must outlive the reader.
  ObjectReader(const nlohmann::json& value, std::string path,
               std::vector<SettingsProblem>* problems);

  // Reports the unknown fields.
  ~ObjectReader();

  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;

  // Reads a field; reports a problem if it is missing.
  template <typename Check, typename T>
  void Required(const std::string& name, const Check& check, T* out) {
    ReadField(name, check, out, /*required=*/true);
  }

  // Reads a field; leaves `*out` unchanged if it is missing.
  template <typename Check, typename T>
  void Optional(const std::string& name, const Check& check, T* out) {
    ReadField(name, check, out, /*required=*/false);
  }

  // Reads a nested object with `read`.
  template <typename T>
  void RequiredObject(const std::string& name, T* out,
                      void (*read)(ObjectReader*, T*)) {
    ReadObject(name, out, read, /*required=*/true);
  }
  template <typename T>
  void OptionalObject(const std::string& name, T* out,
                      void (*read)(ObjectReader*, T*)) {
    ReadObject(name, out, read, /*required=*/false);
  }

  // Reads a list of objects with at least one element.
  template <typename T>
  void RequiredList(const std::string& name, std::vector<T>* out,
                    void (*read)(ObjectReader*, T*)) {
    ReadList(name, out, read, /*required=*/true);
  }

  // Reads a list of objects, which may be empty or missing.
  template <typename T>
  void OptionalList(const std::string& name, std::vector<T>* out,
                    void (*read)(ObjectReader*, T*)) {
    ReadList(name, out, read, /*required=*/false);
  }

  // Adds a problem, such as an inconsistency between fields.
  void Report(const std::string& path, const std::string& expectation,
              const std::string& found);

  const std::string& path() const { return path_; }

 private:
  // Returns a short text for `value`, such as "an object" or "3".
  static std::string Describe(const nlohmann::json& value);
  static std::string DescribeSecret(const nlohmann::json& value);

  std::string PathOf(const std::string& name) const {
    return absl::StrCat(path_, ".", name);
  }

  // Returns the field, or null if it is missing. Reports a missing field if it
  // is `required`.
  const nlohmann::json* Find(const std::string& name,
                             const std::string& expectation, bool required);

  template <typename Check, typename T>
  void ReadField(const std::string& name, const Check& check, T* out,
                 bool required) {
    const nlohmann::json* field = Find(name, check.Expectation(), required);
    if (field == nullptr || check.Parse(*field, out)) return;
    Report(PathOf(name), check.Expectation(),
           Check::kSecret ? DescribeSecret(*field) : Describe(*field));
  }

  template <typename T>
  void ReadObject(const std::string& name, T* out,
                  void (*read)(ObjectReader*, T*), bool required) {
    const nlohmann::json* field = Find(name, "an object", required);
    if (field == nullptr) return;
    ObjectReader reader(*field, PathOf(name), problems_);
    read(&reader, out);
  }

  template <typename T>
  void ReadList(const std::string& name, std::vector<T>* out,
                void (*read)(ObjectReader*, T*), bool required) {
    const nlohmann::json* field = Find(name, "a list of objects", required);
    if (field == nullptr) return;
    if (!field->is_array() || (required && field->empty())) {
      Report(PathOf(name),
             required ? "a list of at least one object" : "a list of objects",
             Describe(*field));
      return;
    }
    for (std::size_t n = 0; n < field->size(); ++n) {
      ObjectReader reader((*field)[n], absl::StrCat(PathOf(name), "[", n, "]"),
                          problems_);
      read(&reader, &out->emplace_back());
    }
  }

  const nlohmann::json& value_;
  const std::string path_;
  std::vector<SettingsProblem>* const problems_;
  const bool is_object_;
  absl::flat_hash_set<std::string> known_;
};

}  // namespace wisteriareel::settings

#endif  // WISTERIAREEL_SRC_SETTINGS_OBJECT_READER_H_
