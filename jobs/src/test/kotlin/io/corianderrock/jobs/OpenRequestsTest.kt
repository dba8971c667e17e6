/*
 * Writes of an entry to the store whose outcome is not known.
 */
package io.corianderrock.jobs

import io.corianderrock.jobs.entry.CallerAnswer
import io.corianderrock.jobs.entry.OpenRequests
import io.corianderrock.jobs.ports.RowKey
import io.corianderrock.jobs.ports.Table
import io.corianderrock.jobs.world.SimLoop
import io.corianderrock.jobs.world.SimTime
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly

internal class OpenRequestsTest :
    DescribeSpec({
        val key = RowKey(Table.INBOX, "job/cancel")
        describe("a request whose answer was lost and for which two reads are on their way") {
            // Guards against a caller without an answer: the second read took away the request that had been sent since the first one.
            it("may be sent again after the first read, and is answered whatever the second one finds") {
                val requests = OpenRequests(SimLoop(SimTime()))
                val answers = ArrayList<CallerAnswer>()
                requests.onSent(key) {}
                requests.onAnswered(key, CallerAnswer.Uncertain("no answer"))
                requests.onSettled(key)
                requests.onSent(key) { answers.add(it) }
                requests.onSettled(key)
                answers.shouldBeEmpty()
                requests.onAnswered(key, CallerAnswer.Applied)
                answers shouldContainExactly listOf(CallerAnswer.Applied)
            }
        }
    })
