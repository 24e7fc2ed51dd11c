/**
 * Pure decisions of admission: queues by rank and organisation, limits, overload, retry budgets and preemption. Time
 * (nanoseconds of one monotonic clock) and inputs are arguments; the duty that owns an instance is its only caller.
 */
package org.masticpaddle.admission;
