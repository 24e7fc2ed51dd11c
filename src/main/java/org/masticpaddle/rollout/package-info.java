/** Rollout decisions without input or output: stages, sequential health test, observations exchanged between entries. */
package org.masticpaddle.rollout;
