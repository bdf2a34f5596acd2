/** @file field_table.h Schema of JSON documents as a table of fields. */

#ifndef SRC_KERNEL_FIELD_TABLE_H_
#define SRC_KERNEL_FIELD_TABLE_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornpath {

/** One validation error in a document. */
struct DocumentFault {
  std::string path;    ///< JSON pointer, or name of an unreadable file.
  std::string reason;  ///< Why the value is invalid.
};

/** A document failed validation; no part of it is used. */
class InvalidDocument : public std::runtime_error {
 public:
  explicit InvalidDocument(std::vector<DocumentFault> faults);
  InvalidDocument(std::string path, std::string reason);

  const std::vector<DocumentFault>& Faults() const { return this->faults; }

 private:
  std::vector<DocumentFault> faults;
};

/** Member that stores a field; its type is the type of the field. */
template <class Document>
using FieldMember = std::variant<std::string Document::*,
                                 std::int64_t Document::*,
                                 bool Document::*,
                                 std::chrono::milliseconds Document::*>;

/** Default of a field that a document must not omit. */
struct Required {};

/** Value of a field that the document omits. */
using FieldDefault = std::variant<Required, const char*, std::int64_t, bool>;

/** Schema of one field; parsing, validation and help texts are based on it. */
template <class Document>
struct FieldRow {
  const char* name;
  FieldMember<Document> member;
  const char* unit;            ///< "ms", "%", or empty.
  FieldDefault default_value;  ///< Required{} if there is none.
  std::int64_t minimum;        ///< Minimum number, or length of a text.
  std::int64_t maximum;        ///< Maximum number, or length of a text.
  const char* choices;         ///< Allowed texts, separated by '|'; or empty.
  const char* help;
};

/** Schema of one field, independent of the C++ type of its document. */
struct FieldRule {
  std::string name;
  std::string type;  ///< "text", "number", "flag" or "time".
  std::string unit;
  FieldDefault default_value;
  std::int64_t minimum;
  std::int64_t maximum;
  std::string choices;
  std::string help;
};

/**
 * Validates one value.
 * @param path JSON pointer to the value.
 * @param[out] faults An error is appended.
 * @return True if the value is valid.
 */
bool ValidateField(const nlohmann::json& value,
                   const FieldRule& rule,
                   const std::string& path,
                   std::vector<DocumentFault>& faults);

/**
 * Parses JSON with comments.
 * @throws InvalidDocument If the text is not valid JSON or an object has two
 * members of one name.
 */
nlohmann::json ParseJsonWithComments(const std::string& text);

/**
 * Parses JSON with comments. Objects with two members of one name are left out.
 * @param[out] left_out A fault for each repeated name.
 * @throws InvalidDocument If the text is not valid JSON.
 */
nlohmann::json ParseJsonWithComments(const std::string& text,
                                     std::vector<DocumentFault>& left_out);

/** @return The text with U+FFFD in place of bytes that are not UTF-8. */
std::string ReplaceInvalidUtf8(const std::string& text);

/** Appends an error for each member of an object that has no rule. */
void CheckUnknownFields(const nlohmann::json& object,
                        const std::vector<FieldRule>& rules,
                        const std::string& path,
                        std::vector<DocumentFault>& faults);

namespace field_table_internal {

template <class Document>
const char* TypeName(const FieldMember<Document>& member) {
  constexpr const char* kNames[] = {"text", "number", "flag", "time"};
  return kNames[member.index()];
}

template <class Document>
void Assign(Document& document,
            const FieldMember<Document>& member,
            const nlohmann::json& value) {
  std::visit(
      [&](auto pointer) {
        using Value = std::remove_reference_t<decltype(document.*pointer)>;
        if constexpr (std::is_same_v<Value, std::chrono::milliseconds>) {
          document.*pointer = Value(value.get<std::int64_t>());
        } else {
          document.*pointer = value.get<Value>();
        }
      },
      member);
}

}  // namespace field_table_internal

/** @return The row without the C++ type of its document. */
template <class Document>
FieldRule RuleOf(const FieldRow<Document>& row) {
  return {row.name,    field_table_internal::TypeName<Document>(row.member),
          row.unit,    row.default_value,
          row.minimum, row.maximum,
          row.choices, row.help};
}

template <class Document>
std::vector<FieldRule> RulesOf(std::span<const FieldRow<Document>> rows) {
  std::vector<FieldRule> rules;
  for (const FieldRow<Document>& row : rows)
    rules.push_back(RuleOf(row));
  return rules;
}

/** @return The default as JSON; null if the field is required. */
nlohmann::json DefaultValue(const FieldDefault& value);

/**
 * Converts a JSON object to a document, with defaults for omitted fields.
 * @param path JSON pointer to the document within its file.
 * @param[out] faults All errors are appended; the result is valid only if there
 * are none.
 */
template <class Document>
Document ReadDocument(const nlohmann::json& object,
                      std::span<const FieldRow<Document>> rows,
                      const std::string& path,
                      std::vector<DocumentFault>& faults) {
  Document document;
  if (!object.is_object()) {
    faults.push_back({path, "must be an object"});
    return document;
  }
  CheckUnknownFields(object, RulesOf(rows), path, faults);
  for (const FieldRow<Document>& row : rows) {
    const std::string field_path = path + "/" + row.name;
    const auto found = object.find(row.name);
    const nlohmann::json value =
        found != object.end() ? *found : DefaultValue(row.default_value);
    if (value.is_null() && found == object.end()) {
      faults.push_back({field_path, "is required"});
      continue;
    }
    if (ValidateField(value, RuleOf(row), field_path, faults)) {
      field_table_internal::Assign(document, row.member, value);
    }
  }
  return document;
}

}  // namespace buckthornpath

#endif  // SRC_KERNEL_FIELD_TABLE_H_
