/** Decision log: typed events with the inputs of decisions, written as JSON lines by a thread with a bounded queue. */
package org.masticpaddle.decisions;
