/*
 * Parses addresses that other programs wrote. Look-ups and the library's own parsing read many malformed ones as another host.
 */
package io.corianderrock.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

internal class HostPortTest :
    DescribeSpec({
        describe("an address") {
            for ((text, ip) in mapOf(
                "10.0.0.1:80" to "10.0.0.1",
                "255.255.255.255:65535" to "255.255.255.255",
                "[::1]:1" to "0:0:0:0:0:0:0:1",
                "[fd00:0:0:0:0:0:0:9]:8080" to "fd00:0:0:0:0:0:0:9",
                "[::ffff:10.0.0.1]:80" to "10.0.0.1",
            )) {
                it("with a numeric host needs no look-up: $text") {
                    HostPort
                        .parse(text)
                        .shouldNotBeNull()
                        .ip
                        ?.hostAddress shouldBe ip
                }
            }
            for (text in listOf("localhost:80", "worker-1.example:80", "10.0.0.1.example:80", "a_b:1")) {
                it("with a name has to be looked up: $text") {
                    HostPort
                        .parse(text)
                        .shouldNotBeNull()
                        .ip
                        .shouldBeNull()
                }
            }
            for (text in listOf(
                "",
                ":",
                ":80",
                "a",
                "a:",
                "a:0",
                "a:65536",
                "a:+1",
                "a:-1",
                "a:1e1",
                "a: 1",
                "a:\u0661",
                "a:000080",
                "[]:80",
                "[::1:80",
                "::1]:80",
                "::1:80",
                "[::g]:80",
                "[10.0.0.1]:80",
                "[::1%1]:80",
                "010.0.0.1:80",
                "1.2.3:80",
                "1.2.3.4.5:80",
                "1.2.3.256:80",
                "1.2.3.:80",
                ".1:80",
                "a.1:80",
                "0x7f000001.1:80",
                "2130706433:80",
                "a b:80",
                "a/b:80",
                "a@b:80",
                "a%b:80",
                "a\u0000:80",
                "\u00e9:80",
                "[${":".repeat(100)}]:80",
                "a".repeat(254) + ":80",
            )) {
                it("that is not a host and a port is refused: ${text.take(30)}") {
                    HostPort.parse(text).shouldBeNull()
                }
            }
        }
    })
