/*
 * Decoded values that know where their keys stand.
 */
package io.corianderrock.protocol.toml

/** A decoded value with the places of its keys. */
public class LocatedValue<T>(
    public val value: T,
    private val document: Document,
) {
    /** Where keys stand in the file. */
    public fun interface Document {
        /** Returns the line of [path], or 0 when it is not known. */
        public fun lineOf(path: String): Int
    }

    /** Returns the line of [path], such as `service[2].pool`, or 0 when it is not known. */
    public fun lineOf(path: String): Int = document.lineOf(path)
}
