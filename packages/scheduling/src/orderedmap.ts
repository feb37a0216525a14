/** Orders two keys: negative, zero or positive, as for Array.prototype.sort. */
export type Comparator<Key> = (left: Key, right: Key) => number;

interface Node<Key, Value> {
    readonly key: Key;
    readonly value: Value;
    readonly left: Node<Key, Value> | undefined;
    readonly right: Node<Key, Value> | undefined;
    readonly height: number;
    readonly size: number;
}

type Tree<Key, Value> = Node<Key, Value> | undefined;

/**
 * A persistent (immutable) sorted map, kept as an AVL tree. `set` and `delete` return a new map that shares all nodes with
 * the old one except those on the path to the key. Every operation but `entries` takes O(log n) time.
 */
export class OrderedMap<Key, Value> {
    private constructor(private readonly compare: Comparator<Key>, private readonly root: Tree<Key, Value>) {}

    static empty<Key, Value>(compare: Comparator<Key>): OrderedMap<Key, Value> {
        return new OrderedMap<Key, Value>(compare, undefined);
    }

    get size(): number {
        return this.root?.size ?? 0;
    }

    get(key: Key): Value | undefined {
        let node = this.root;
        while (node) {
            const order = this.compare(key, node.key);
            if (order === 0) {
                return node.value;
            }
            node = order < 0 ? node.left : node.right;
        }
        return undefined;
    }

    has(key: Key): boolean {
        return this.get(key) !== undefined;
    }

    /** The entry with the smallest key. */
    first(): readonly [Key, Value] | undefined {
        let node = this.root;
        while (node?.left) {
            node = node.left;
        }
        return node && [node.key, node.value];
    }

    /** The entry at an index in key order, counted from 0. */
    at(index: number): readonly [Key, Value] | undefined {
        let node = this.root;
        let remaining = index;
        while (node) {
            const leftSize = node.left?.size ?? 0;
            if (remaining === leftSize) {
                return [node.key, node.value];
            }
            if (remaining < leftSize) {
                node = node.left;
            }
            else {
                remaining -= leftSize + 1;
                node = node.right;
            }
        }
        return undefined;
    }

    set(key: Key, value: Value): OrderedMap<Key, Value> {
        return new OrderedMap(this.compare, insert(this.compare, this.root, key, value));
    }

    delete(key: Key): OrderedMap<Key, Value> {
        return new OrderedMap(this.compare, remove(this.compare, this.root, key));
    }

    /** All entries in key order. */
    *entries(): Generator<readonly [Key, Value]> {
        yield* iterate(this.root);
    }
}

function* iterate<Key, Value>(tree: Tree<Key, Value>): Generator<readonly [Key, Value]> {
    if (tree) {
        yield* iterate(tree.left);
        yield [tree.key, tree.value];
        yield* iterate(tree.right);
    }
}

function makeNode<Key, Value>(
    left: Tree<Key, Value>,
    key: Key,
    value: Value,
    right: Tree<Key, Value>,
): Node<Key, Value> {
    return {
        key,
        value,
        left,
        right,
        height: Math.max(left?.height ?? 0, right?.height ?? 0) + 1,
        size: (left?.size ?? 0) + (right?.size ?? 0) + 1,
    };
}

/** Makes a node over two subtrees whose heights differ by at most two, with AVL rotations where they differ by two. */
function makeBalancedNode<Key, Value>(
    left: Tree<Key, Value>,
    key: Key,
    value: Value,
    right: Tree<Key, Value>,
): Node<Key, Value> {
    const heightDifference = (left?.height ?? 0) - (right?.height ?? 0);
    if (heightDifference > 1 && left) {
        if ((left.left?.height ?? 0) >= (left.right?.height ?? 0) || !left.right) {
            return makeNode(left.left, left.key, left.value, makeNode(left.right, key, value, right));
        }
        const middle = left.right;
        const upper = makeNode(left.left, left.key, left.value, middle.left);
        return makeNode(upper, middle.key, middle.value, makeNode(middle.right, key, value, right));
    }
    if (heightDifference < -1 && right) {
        if ((right.right?.height ?? 0) >= (right.left?.height ?? 0) || !right.left) {
            return makeNode(makeNode(left, key, value, right.left), right.key, right.value, right.right);
        }
        const middle = right.left;
        const lower = makeNode(middle.right, right.key, right.value, right.right);
        return makeNode(makeNode(left, key, value, middle.left), middle.key, middle.value, lower);
    }
    return makeNode(left, key, value, right);
}

function insert<Key, Value>(
    compare: Comparator<Key>,
    tree: Tree<Key, Value>,
    key: Key,
    value: Value,
): Node<Key, Value> {
    if (!tree) {
        return makeNode(undefined, key, value, undefined);
    }
    const order = compare(key, tree.key);
    if (order === 0) {
        return makeNode(tree.left, key, value, tree.right);
    }
    return order < 0
        ? makeBalancedNode(insert(compare, tree.left, key, value), tree.key, tree.value, tree.right)
        : makeBalancedNode(tree.left, tree.key, tree.value, insert(compare, tree.right, key, value));
}

function remove<Key, Value>(compare: Comparator<Key>, tree: Tree<Key, Value>, key: Key): Tree<Key, Value> {
    if (!tree) {
        return undefined;
    }
    const order = compare(key, tree.key);
    if (order < 0) {
        return makeBalancedNode(remove(compare, tree.left, key), tree.key, tree.value, tree.right);
    }
    if (order > 0) {
        return makeBalancedNode(tree.left, tree.key, tree.value, remove(compare, tree.right, key));
    }
    if (!tree.left || !tree.right) {
        return tree.left ?? tree.right;
    }
    const successor = smallestNode(tree.right);
    return makeBalancedNode(tree.left, successor.key, successor.value, remove(compare, tree.right, successor.key));
}

function smallestNode<Key, Value>(tree: Node<Key, Value>): Node<Key, Value> {
    let node = tree;
    while (node.left) {
        node = node.left;
    }
    return node;
}

/** Compares strings by their UTF-16 code units. */
export function compareStrings(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
