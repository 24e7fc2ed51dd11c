/** The log of decisions: typed events with their inputs, written as JSON lines by one thread with a bounded ring. */
package org.masticpaddle.decisions;
