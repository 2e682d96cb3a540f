#ifndef WISTERIAREEL_SRC_CONFIG_PERSISTENT_MAP_H_
#define WISTERIAREEL_SRC_CONFIG_PERSISTENT_MAP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "wisteriareel/stable_hash.h"

namespace wisteriareel {

// A persistent ordered map with string keys. Copies share structure: a copy
// costs one pointer, and a change allocates the nodes on one path. Implemented
// as a treap whose priorities are hashes of the keys, so that its shape depends
// only on its content. Nodes are immutable; distinct copies may be used by
// distinct threads.
template <typename V>
class PersistentMap {
 public:
  // Returns the value at `key`, or null. The value stays valid as long as any
  // copy of the map contains it.
  const V* Find(const std::string& key) const {
    const Node* node = root_.get();
    while (node != nullptr) {
      const int order = key.compare(node->key);
      if (order == 0) return node->value.get();
      node = order < 0 ? node->left.get() : node->right.get();
    }
    return nullptr;
  }

  // Inserts or replaces the value at `key`.
  void Put(const std::string& key, std::shared_ptr<const V> value) {
    if (Find(key) == nullptr) ++size_;
    root_ = Put(root_, Node{key, StableHash(key), std::move(value), {}, {}});
  }

  // Removes `key` if present.
  void Erase(const std::string& key) {
    if (Find(key) == nullptr) return;
    --size_;
    root_ = Erase(root_, key);
  }

  // Calls `visit` for each entry with key > `after`, in order of key, until it
  // returns false.
  void Visit(
      const std::string& after,
      const std::function<bool(const std::string&, const V&)>& visit) const {
    Visit(root_.get(), after, visit);
  }

  std::size_t size() const { return size_; }

 private:
  struct Node {
    std::string key;
    std::uint64_t priority = 0;
    std::shared_ptr<const V> value;
    std::shared_ptr<const Node> left;
    std::shared_ptr<const Node> right;
  };
  using Link = std::shared_ptr<const Node>;

  static Link WithChildren(const Node& node, Link left, Link right) {
    return std::make_shared<const Node>(Node{node.key, node.priority,
                                             node.value, std::move(left),
                                             std::move(right)});
  }

  static Link Put(const Link& at, Node added) {
    if (at == nullptr) return std::make_shared<const Node>(std::move(added));
    const int order = added.key.compare(at->key);
    if (order == 0) {
      return std::make_shared<const Node>(Node{
          at->key, at->priority, std::move(added.value), at->left, at->right});
    }
    if (order < 0) {
      const Link left = Put(at->left, std::move(added));
      if (left->priority <= at->priority) {
        return WithChildren(*at, left, at->right);
      }
      return WithChildren(*left, left->left,
                          WithChildren(*at, left->right, at->right));
    }
    const Link right = Put(at->right, std::move(added));
    if (right->priority <= at->priority) {
      return WithChildren(*at, at->left, right);
    }
    return WithChildren(*right, WithChildren(*at, at->left, right->left),
                        right->right);
  }

  static Link Erase(const Link& at, const std::string& key) {
    const int order = key.compare(at->key);
    if (order == 0) return Merge(at->left, at->right);
    if (order < 0) return WithChildren(*at, Erase(at->left, key), at->right);
    return WithChildren(*at, at->left, Erase(at->right, key));
  }

  // Merges two trees. All keys of `low` must be less than those of `high`.
  static Link Merge(const Link& low, const Link& high) {
    if (low == nullptr) return high;
    if (high == nullptr) return low;
    if (low->priority >= high->priority) {
      return WithChildren(*low, low->left, Merge(low->right, high));
    }
    return WithChildren(*high, Merge(low, high->left), high->right);
  }

  static bool Visit(
      const Node* node, const std::string& after,
      const std::function<bool(const std::string&, const V&)>& visit) {
    if (node == nullptr) return true;
    if (node->key > after) {
      if (!Visit(node->left.get(), after, visit)) return false;
      if (!visit(node->key, *node->value)) return false;
    }
    return Visit(node->right.get(), after, visit);
  }

  Link root_;
  std::size_t size_ = 0;
};

}  // namespace wisteriareel

#endif  // WISTERIAREEL_SRC_CONFIG_PERSISTENT_MAP_H_
