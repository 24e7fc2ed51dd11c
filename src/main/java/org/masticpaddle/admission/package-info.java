/**
 * Admission control: queues by rank and organisation, limits of organisations, concurrency limits, retry budgets and
 * preemption. The classes do no I/O and read no clock: time (nanoseconds of one monotonic clock) and all other inputs
 * are arguments. Only the duty that owns an instance calls it.
 */
package org.masticpaddle.admission;
