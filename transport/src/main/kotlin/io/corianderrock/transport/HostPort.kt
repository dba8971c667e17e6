/*
 * Addresses of the form `host:port` as other programs write them into settings, rows and answers.
 */
package io.corianderrock.transport

import java.net.InetAddress
import java.net.UnknownHostException

/** A host and a port from 1 to 65535. [ip] is null if the host is a name, which has to be looked up. */
public class HostPort private constructor(
    public val host: String,
    public val port: Int,
    public val ip: InetAddress?,
) {
    public companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_PORT_DIGITS = 5
        private const val MAX_NAME_LENGTH = 253
        private const val MAX_IPV6_LENGTH = 45
        private const val IPV4_PARTS = 4
        private const val MAX_IPV4_PART = 255
        private const val MAX_IPV4_PART_DIGITS = 3

        /**
         * Parses [text] without a look-up. Null unless it is a numeric IPv4 address, a numeric IPv6 address in brackets or a host
         * name in ASCII, followed by a colon and a port.
         */
        public fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', "")
            val port = parsePort(text.substringAfterLast(':')) ?: return null
            if (host.startsWith("[") && host.endsWith("]")) {
                return parseIpv6(host.substring(1, host.length - 1))?.let { HostPort(host, port, it) }
            }
            if (host.isEmpty() || host.length > MAX_NAME_LENGTH || !host.all(::isNameChar)) return null
            // A name whose last label is a number is a malformed IPv4 address, which look-ups read in several ways.
            if (!host.substringAfterLast('.').all { it in '0'..'9' }) return HostPort(host, port, null)
            return parseIpv4(host)?.let { HostPort(host, port, it) }
        }

        private fun parsePort(text: String): Int? {
            if (text.length !in 1..MAX_PORT_DIGITS || !text.all { it in '0'..'9' }) return null
            return text.toInt().takeIf { it in 1..MAX_PORT }
        }

        private fun isNameChar(char: Char): Boolean =
            char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char == '-' || char == '.' || char == '_'

        private fun parseIpv4(text: String): InetAddress? {
            val parts = text.split('.').map { parseIpv4Part(it) ?: return null }
            if (parts.size != IPV4_PARTS) return null
            return InetAddress.getByAddress(ByteArray(IPV4_PARTS) { parts[it].toByte() })
        }

        private fun parseIpv4Part(text: String): Int? {
            val hasLeadingZero = text.length > 1 && text.startsWith("0")
            if (text.length !in 1..MAX_IPV4_PART_DIGITS || hasLeadingZero || !text.all { it in '0'..'9' }) return null
            return text.toInt().takeIf { it <= MAX_IPV4_PART }
        }

        private fun parseIpv6(text: String): InetAddress? {
            if (text.length > MAX_IPV6_LENGTH || ':' !in text) return null
            if (!text.all { it in '0'..'9' || it in 'a'..'f' || it in 'A'..'F' || it == ':' || it == '.' }) return null
            return try {
                // Brackets and a colon make this a parse of a numeric address, never a look-up.
                InetAddress.getByName("[$text]")
            } catch (_: UnknownHostException) {
                null
            }
        }
    }
}
