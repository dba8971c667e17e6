/*
 * Keys derived from requests.
 */
package io.corianderrock.coordination.request

/** The key of run-time statistics: the method and the first two path segments, without the query. */
internal fun routeKey(request: EntryRequest): String {
    val path = request.path.substringBefore('?')
    val second = path.indexOf('/', startIndex = 1)
    val third = if (second < 0) -1 else path.indexOf('/', startIndex = second + 1)
    return request.method + ' ' + if (third < 0) path else path.substring(0, third)
}

/** The creation time of a version 7 UUID in milliseconds since the Unix epoch; null for other keys. */
public fun keyTimestampMs(key: String): Long? {
    val isVersion7 = key.length == UUID_LENGTH && key[UUID_VERSION_INDEX] == '7'
    if (!isVersion7) return null
    return (key.substring(0, 8) + key.substring(9, 13)).toLongOrNull(radix = 16)
}

private const val UUID_LENGTH = 36
private const val UUID_VERSION_INDEX = 14
