/** @file field_table.h Documents described by a table of fields. */

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

/** One thing wrong with a document. */
struct DocumentFault {
  std::string path;    ///< JSON pointer to the place.
  std::string reason;  ///< What is wrong there.
};

/** A document was refused whole. */
class DocumentRefused : public std::runtime_error {
 public:
  explicit DocumentRefused(std::vector<DocumentFault> faults);
  DocumentRefused(std::string path, std::string reason);

  const std::vector<DocumentFault>& Faults() const { return this->faults; }

 private:
  std::vector<DocumentFault> faults;
};

/** Member that a field fills; the alternative gives the field's type. */
template <class Document>
using FieldMember = std::variant<std::string Document::*,
                                 std::int64_t Document::*,
                                 bool Document::*,
                                 std::chrono::milliseconds Document::*>;

/** Value of a field that the document leaves out. */
struct Required {};
using FieldDefault = std::variant<Required, const char*, std::int64_t, bool>;

/** One field of a document: the parser, checker and help text all read it. */
template <class Document>
struct FieldRow {
  const char* name;
  FieldMember<Document> member;
  const char* unit;            ///< "ms", "%", or empty.
  FieldDefault default_value;  ///< Required{} if it may not be left out.
  std::int64_t minimum;        ///< Of a number; least length of a text.
  std::int64_t maximum;        ///< Of a number; greatest length of a text.
  const char* choices;         ///< Texts allowed, separated by '|', or empty.
  const char* help;
};

/** What a row says without the type of its document. */
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
 * Checks one value against its rule.
 * @param path JSON pointer of the value.
 * @param[out] faults Receives what is wrong.
 * @return True if the value obeys the rule.
 */
bool CheckField(const nlohmann::json& value,
                const FieldRule& rule,
                const std::string& path,
                std::vector<DocumentFault>& faults);

/**
 * Parses JSON with comments. A name that stands twice in an object is a fault.
 * @throws DocumentRefused If the text is no JSON or a name stands twice.
 */
nlohmann::json ParseJsonWithComments(const std::string& text);

/** Reports the members of an object that no rule names. */
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

/** @return The row's rule without its document's type. */
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
 * Reads a document by its table.
 * @param path JSON pointer of the document within its file.
 * @param[out] faults Receives every fault; the result counts only without any.
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
    const std::string place = path + "/" + row.name;
    const auto found = object.find(row.name);
    const nlohmann::json value =
        found != object.end() ? *found : DefaultValue(row.default_value);
    if (value.is_null() && found == object.end()) {
      faults.push_back({place, "is required"});
      continue;
    }
    if (CheckField(value, RuleOf(row), place, faults)) {
      field_table_internal::Assign(document, row.member, value);
    }
  }
  return document;
}

}  // namespace buckthornpath

#endif  // SRC_KERNEL_FIELD_TABLE_H_
