#!/usr/bin/env node
import "../dist/src/main.js";
