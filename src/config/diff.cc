#include "coppervalve/config/diff.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/text_format.h>
#include <google/protobuf/util/json_util.h>

#include <boost/json/serialize.hpp>  // serialize
#include <map>                       // map
#include <utility>                   // move

namespace coppervalve::config {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr int kNotRepeated =
    -1;  // protobuf's index of a field that is not repeated

std::string MessageJson(const Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string json;
  static_cast<void>(
      google::protobuf::util::MessageToJsonString(message, &json, options));
  return json;
}

std::string ValueJson(const Message& message,
                      const FieldDescriptor& field,
                      int index) {
  const Reflection& reflection = *message.GetReflection();
  std::string text;
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    return MessageJson(
        index == kNotRepeated
            ? reflection.GetMessage(message, &field)
            : reflection.GetRepeatedMessage(message, &field, index));
  }
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    text = index == kNotRepeated
               ? reflection.GetString(message, &field)
               : reflection.GetRepeatedString(message, &field, index);
    return boost::json::serialize(boost::json::string_view(text));
  }
  google::protobuf::TextFormat::PrintFieldValueToString(message, &field, index,
                                                        &text);
  return text;
}

std::string ListJson(const Message& message, const FieldDescriptor& field) {
  const int size = message.GetReflection()->FieldSize(message, &field);
  std::string json;
  for (int i = 0; i < size; ++i) {
    json += (i == 0 ? "[" : ", ") + ValueJson(message, field, i);
  }
  return json.empty() ? json : json + "]";
}

std::string SingleJson(const Message& message, const FieldDescriptor& field) {
  return message.GetReflection()->HasField(message, &field)
             ? ValueJson(message, field, kNotRepeated)
             : std::string();
}

const FieldDescriptor* IdField(const FieldDescriptor& field) {
  return field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE
             ? field.message_type()->FindFieldByName("id")
             : nullptr;
}

class Comparison {
 public:
  void Compare(const Message& older,
               const Message& newer,
               const std::string& path) {
    const google::protobuf::Descriptor& type = *older.GetDescriptor();
    for (int i = 0; i < type.field_count(); ++i) {
      const FieldDescriptor& field = *type.field(i);
      CompareField(older, newer, field, path + "." + field.name());
    }
  }

  std::vector<Change> TakeChanges() { return std::move(m_changes); }

 private:
  void CompareField(const Message& older,
                    const Message& newer,
                    const FieldDescriptor& field,
                    const std::string& path) {
    if (field.is_repeated()) {
      if (IdField(field) != nullptr) {
        CompareById(older, newer, field, path);
        return;
      }
      AddChange(path, ListJson(older, field), ListJson(newer, field));
      return;
    }
    const Reflection& reflection = *older.GetReflection();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE &&
        reflection.HasField(older, &field) &&
        reflection.HasField(newer, &field)) {
      Compare(reflection.GetMessage(older, &field),
              reflection.GetMessage(newer, &field), path);
      return;
    }
    AddChange(path, SingleJson(older, field), SingleJson(newer, field));
  }

  // The items of one list: position by id, and the ids in the file's order.
  struct Items {
    std::map<std::string, int> position;
    std::vector<std::string> order;
  };

  static Items ItemsOf(const Message& message, const FieldDescriptor& field) {
    const Reflection& reflection = *message.GetReflection();
    Items items;
    for (int i = 0; i < reflection.FieldSize(message, &field); ++i) {
      const Message& item = reflection.GetRepeatedMessage(message, &field, i);
      std::string id = item.GetReflection()->GetString(item, IdField(field));
      items.position.emplace(id, i);
      items.order.push_back(std::move(id));
    }
    return items;
  }

  static std::string ItemPath(std::string path, const std::string& id) {
    return path.append("[id=").append(id).append("]");
  }

  static std::string OrderJson(const Items& items, const Items& other) {
    std::string json;
    for (const std::string& id : items.order) {
      if (!other.position.contains(id)) {
        continue;
      }
      json += json.empty() ? "[" : ", ";
      json += boost::json::serialize(boost::json::string_view(id));
    }
    return json.empty() ? json : json + "]";
  }

  void CompareById(const Message& older,
                   const Message& newer,
                   const FieldDescriptor& field,
                   const std::string& path) {
    const Items before = ItemsOf(older, field);
    const Items after = ItemsOf(newer, field);
    for (const std::string& id : before.order) {
      const std::string item_path = ItemPath(path, id);
      const int i = before.position.at(id);
      const auto found = after.position.find(id);
      if (found == after.position.end()) {
        AddChange(item_path, ValueJson(older, field, i), {});
        continue;
      }
      const Reflection& reflection = *older.GetReflection();
      Compare(reflection.GetRepeatedMessage(older, &field, i),
              reflection.GetRepeatedMessage(newer, &field, found->second),
              item_path);
    }
    for (const std::string& id : after.order) {
      if (!before.position.contains(id)) {
        AddChange(ItemPath(path, id), {},
                  ValueJson(newer, field, after.position.at(id)));
      }
    }
    // Compares the order of common items only, so that an inserted rule counts
    // as one change.
    AddChange(path, OrderJson(before, after), OrderJson(after, before));
  }

  void AddChange(std::string path, std::string before, std::string after) {
    if (before != after) {
      m_changes.push_back(
          {std::move(path), std::move(before), std::move(after)});
    }
  }

  std::vector<Change> m_changes;
};

}  // namespace

std::vector<Change> Diff(const v1::Configuration& older,
                         const v1::Configuration& newer) {
  Comparison comparison;
  comparison.Compare(older, newer, "$");
  return comparison.TakeChanges();
}

}  // namespace coppervalve::config
