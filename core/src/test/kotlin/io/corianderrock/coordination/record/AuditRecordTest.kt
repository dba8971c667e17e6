package io.corianderrock.coordination.record

import io.corianderrock.coordination.MemoryPlatform
import io.corianderrock.coordination.Transaction
import io.corianderrock.coordination.valueOrNull
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe

private fun event(number: Int) = RecordedEvent("test", "subject-$number", "author", "cause", number.toLong(), number.toLong())

private fun append(
    platform: MemoryPlatform,
    number: Int,
) {
    val recordAppend = checkNotNull(AuditRecord(platform).prepareAppend(listOf(event(number))).valueOrNull())
    platform.transact(Transaction("append-$number", recordAppend.preconditions, recordAppend.writes))
}

private fun recordOf(count: Int): RecordContent {
    val platform = MemoryPlatform()
    repeat(count) { append(platform, it) }
    return checkNotNull(AuditRecord(platform).readAll().valueOrNull())
}

class AuditRecordTest :
    DescribeSpec({
        describe("an intact record") {
            it("verifies") {
                val record = recordOf(5)
                verifyRecord(record.entries, record.head).shouldBeEmpty()
            }

            it("verifies across archived segments") {
                val platform = MemoryPlatform()
                repeat(12) {
                    append(platform, it)
                    AuditRecord(platform).archive(segmentSize = 5)
                }
                val record = checkNotNull(AuditRecord(platform).readAll().valueOrNull())
                record.entries.size shouldBe 12
                verifyRecord(record.entries, record.head).shouldBeEmpty()
            }
        }

        describe("a tampered record") {
            val intact = recordOf(5)
            val cases =
                mapOf(
                    "missing first" to intact.entries.drop(1),
                    "missing middle" to intact.entries.filter { it.sequence != 3L },
                    "missing last" to intact.entries.dropLast(1),
                    "edited" to intact.entries.map { if (it.sequence == 2L) it.copy(event = it.event.copy(author = "mallory")) else it },
                    "reordered" to listOf(1, 3, 2, 4, 5).map { number -> intact.entries[number - 1] },
                    "duplicated last" to intact.entries + intact.entries.last(),
                )
            cases.forEach { (name, entries) ->
                it("is detected: $name") {
                    verifyRecord(entries, intact.head).shouldNotBeEmpty()
                }
            }
        }
    })
