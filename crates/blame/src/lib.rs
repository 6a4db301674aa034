//! Identification of requests that crash the engines that run them.
