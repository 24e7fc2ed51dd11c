/** Load and experiment programs that measure the decisions and the daemon against stated targets and baselines. */
package org.masticpaddle.bench;
