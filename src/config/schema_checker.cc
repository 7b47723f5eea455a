#include "schema_checker.h"

#include <charconv>  // from_chars
#include <cstdint>   // int64_t, uint32_t, uint64_t
#include <set>       // set
#include <string>    // string
#include <utility>   // move

namespace coppervalve::config {

namespace {

using core::ErrorId;
using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::OneofDescriptor;
using Kind = JsonNode::Kind;

template <typename Number>
bool Fits(const std::string& literal) {
  Number number{};
  const char* end = literal.data() + literal.size();
  const auto [stopped, error] = std::from_chars(literal.data(), end, number);
  return error == std::errc{} && stopped == end;
}

bool FitsField(const std::string& literal, const FieldDescriptor& field) {
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
      return Fits<int32_t>(literal);
    case FieldDescriptor::CPPTYPE_UINT32:
      return Fits<uint32_t>(literal);
    case FieldDescriptor::CPPTYPE_INT64:
      return Fits<int64_t>(literal);
    default:
      return Fits<uint64_t>(literal);
  }
}

// protobuf's JSON mapping writes 64-bit numbers as strings; they are accepted
// so that canonical output can be read again.
bool MayBeQuoted(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_INT64 ||
         field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64;
}

std::string FieldNames(const Descriptor& type) {
  std::string names;
  for (int i = 0; i < type.field_count(); ++i) {
    names += (i == 0 ? "" : ", ") + type.field(i)->name();
  }
  return names;
}

std::string ValueNames(const EnumDescriptor& type) {
  std::string names;
  for (int i = 0; i < type.value_count(); ++i) {
    names += (i == 0 ? "" : ", ") + type.value(i)->name();
  }
  return names;
}

class SchemaChecker {
 public:
  void CheckObject(const JsonNode& node,
                   const Descriptor& type,
                   const std::string& path) {
    if (!Expect(Kind::kObject, node, path)) {
      return;
    }
    std::set<std::string_view> seen;
    std::set<const OneofDescriptor*> chosen;
    for (const JsonMember& member : node.members) {
      const std::string member_path = path + "." + member.name;
      if (!seen.insert(member.name).second) {
        Report(ErrorId::kConfigDuplicateId, member_path,
               "the name occurs twice in one object");
        continue;
      }
      const FieldDescriptor* field = type.FindFieldByName(member.name);
      if (field == nullptr) {
        Report(ErrorId::kConfigUnknownField, member_path,
               "known fields: " + FieldNames(type));
        continue;
      }
      const OneofDescriptor* oneof = field->containing_oneof();
      if (oneof != nullptr && !chosen.insert(oneof).second) {
        Report(ErrorId::kConfigBadValue, member_path,
               "only one " + oneof->name() + " may be given");
        continue;
      }
      CheckField(member.value, *field, member_path);
    }
  }

  Findings TakeFindings() { return std::move(m_findings); }

 private:
  void CheckField(const JsonNode& node,
                  const FieldDescriptor& field,
                  const std::string& path) {
    if (!field.is_repeated()) {
      CheckSingle(node, field, path);
      return;
    }
    if (!Expect(Kind::kArray, node, path)) {
      return;
    }
    size_t position = 0;
    for (const JsonNode& item : node.items) {
      CheckSingle(item, field, path + "[" + std::to_string(position) + "]");
      ++position;
    }
  }

  void CheckSingle(const JsonNode& node,
                   const FieldDescriptor& field,
                   const std::string& path) {
    switch (field.cpp_type()) {
      case FieldDescriptor::CPPTYPE_MESSAGE:
        CheckObject(node, *field.message_type(), path);
        return;
      case FieldDescriptor::CPPTYPE_STRING:
        Expect(Kind::kString, node, path);
        return;
      case FieldDescriptor::CPPTYPE_BOOL:
        Expect(Kind::kBool, node, path);
        return;
      case FieldDescriptor::CPPTYPE_ENUM:
        CheckEnum(node, *field.enum_type(), path);
        return;
      default:
        CheckInteger(node, field, path);
    }
  }

  void CheckEnum(const JsonNode& node,
                 const EnumDescriptor& type,
                 const std::string& path) {
    if (!Expect(Kind::kString, node, path)) {
      return;
    }
    if (type.FindValueByName(node.text) == nullptr) {
      Report(ErrorId::kConfigBadValue, path,
             "'" + node.text + "' is none of " + ValueNames(type));
    }
  }

  void CheckInteger(const JsonNode& node,
                    const FieldDescriptor& field,
                    const std::string& path) {
    const bool quoted = node.kind == Kind::kString && MayBeQuoted(field);
    if (!quoted && !Expect(Kind::kInteger, node, path)) {
      return;
    }
    if (!FitsField(node.text, field)) {
      Report(ErrorId::kConfigBadValue, path,
             "'" + node.text + "' does not fit " + field.cpp_type_name());
    }
  }

  bool Expect(Kind kind, const JsonNode& node, const std::string& path) {
    if (node.kind == kind) {
      return true;
    }
    Report(ErrorId::kConfigWrongType, path,
           "expected " + std::string(NameOf(kind)) + ", found " +
               std::string(NameOf(node.kind)));
    return false;
  }

  void Report(ErrorId id, std::string path, std::string detail) {
    m_findings.push_back({id, std::move(path), std::move(detail)});
  }

  Findings m_findings;
};

}  // namespace

Findings CheckSchema(const JsonNode& root, const Descriptor& type) {
  SchemaChecker checker;
  checker.CheckObject(root, type, "$");
  return checker.TakeFindings();
}

}  // namespace coppervalve::config
