/** Compares two keys as the compare function of a sort does. */
export type Compare<Key> = (left: Key, right: Key) => number;

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
 * A sorted map that never changes: set and delete return a new map and share all but a path of it with the old one. Every
 * operation takes time that grows with the logarithm of the size.
 */
export class OrderedMap<Key, Value> {
    private constructor(private readonly compare: Compare<Key>, private readonly root: Tree<Key, Value>) {}

    /** Makes a map without entries. */
    static empty<Key, Value>(compare: Compare<Key>): OrderedMap<Key, Value> {
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

    /** The entry at a place in the order of the keys, counted from 0. */
    at(place: number): readonly [Key, Value] | undefined {
        let node = this.root;
        let left = place;
        while (node) {
            const before = node.left?.size ?? 0;
            if (left === before) {
                return [node.key, node.value];
            }
            if (left < before) {
                node = node.left;
            }
            else {
                left -= before + 1;
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

    /** All entries in the order of their keys. */
    *entries(): Generator<readonly [Key, Value]> {
        yield* walk(this.root);
    }
}

function* walk<Key, Value>(tree: Tree<Key, Value>): Generator<readonly [Key, Value]> {
    if (tree) {
        yield* walk(tree.left);
        yield [tree.key, tree.value];
        yield* walk(tree.right);
    }
}

function join<Key, Value>(
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

/** Joins two trees whose heights differ by at most two. */
function balance<Key, Value>(
    left: Tree<Key, Value>,
    key: Key,
    value: Value,
    right: Tree<Key, Value>,
): Node<Key, Value> {
    const lean = (left?.height ?? 0) - (right?.height ?? 0);
    if (lean > 1 && left) {
        if ((left.left?.height ?? 0) >= (left.right?.height ?? 0) || !left.right) {
            return join(left.left, left.key, left.value, join(left.right, key, value, right));
        }
        const middle = left.right;
        const upper = join(left.left, left.key, left.value, middle.left);
        return join(upper, middle.key, middle.value, join(middle.right, key, value, right));
    }
    if (lean < -1 && right) {
        if ((right.right?.height ?? 0) >= (right.left?.height ?? 0) || !right.left) {
            return join(join(left, key, value, right.left), right.key, right.value, right.right);
        }
        const middle = right.left;
        const lower = join(middle.right, right.key, right.value, right.right);
        return join(join(left, key, value, middle.left), middle.key, middle.value, lower);
    }
    return join(left, key, value, right);
}

function insert<Key, Value>(
    compare: Compare<Key>,
    tree: Tree<Key, Value>,
    key: Key,
    value: Value,
): Node<Key, Value> {
    if (!tree) {
        return join(undefined, key, value, undefined);
    }
    const order = compare(key, tree.key);
    if (order === 0) {
        return join(tree.left, key, value, tree.right);
    }
    return order < 0
        ? balance(insert(compare, tree.left, key, value), tree.key, tree.value, tree.right)
        : balance(tree.left, tree.key, tree.value, insert(compare, tree.right, key, value));
}

function remove<Key, Value>(compare: Compare<Key>, tree: Tree<Key, Value>, key: Key): Tree<Key, Value> {
    if (!tree) {
        return undefined;
    }
    const order = compare(key, tree.key);
    if (order < 0) {
        return balance(remove(compare, tree.left, key), tree.key, tree.value, tree.right);
    }
    if (order > 0) {
        return balance(tree.left, tree.key, tree.value, remove(compare, tree.right, key));
    }
    if (!tree.left || !tree.right) {
        return tree.left ?? tree.right;
    }
    const next = smallest(tree.right);
    return balance(tree.left, next.key, next.value, remove(compare, tree.right, next.key));
}

function smallest<Key, Value>(tree: Node<Key, Value>): Node<Key, Value> {
    let node = tree;
    while (node.left) {
        node = node.left;
    }
    return node;
}

/** Compares texts by their code units. */
export function compareText(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
