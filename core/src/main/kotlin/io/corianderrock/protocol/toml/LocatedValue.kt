/*
 * Decoded values with the source lines of their keys.
 */
package io.corianderrock.protocol.toml

/** A value decoded from a file, with the line of each of its keys. */
public class LocatedValue<T>(
    public val value: T,
    private val lines: LineLookup,
) {
    /** Looks up the line of a key. */
    public fun interface LineLookup {
        /** See [LocatedValue.lineOf]. */
        public fun lineOf(path: String): Int
    }

    /** Returns the line of the key [path], such as `service[2].pool`, or 0 if it is not known. */
    public fun lineOf(path: String): Int = lines.lineOf(path)
}
