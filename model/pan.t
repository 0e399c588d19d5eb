#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(2*sizeof(Trans **));

	/* proctype 0: :init: */

	trans[0] = (Trans **) emalloc(374*sizeof(Trans *));

/*->*/	trans[0][26]	= settr(25,32,370,3,3,"D_STEP327", 1, 2, 0);
	trans[0][371]	= settr(370,0,370,1,0,".(goto)", 0, 2, 0);
	T = trans[0][370] = settr(369,0,0,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(369,0,369,0,0,"DO", 0, 2, 0);
	T = trans[ 0][369] = settr(368,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(368,2,31,0,0,"ATOMIC", 1, 2, 0);
	T = trans[0][31] = settr(30,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(30,2,27,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(30,2,28,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(30,2,29,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(30,2,30,0,0,"IF", 1, 2, 0);
	trans[0][27]	= settr(26,2,357,4,4,"r = 0", 1, 2, 0);
	trans[0][32]	= settr(31,2,357,1,0,".(goto)", 1, 2, 0);
	trans[0][28]	= settr(27,2,357,5,5,"r = 1", 1, 2, 0);
	trans[0][29]	= settr(28,2,357,6,6,"r = 2", 1, 2, 0);
	trans[0][30]	= settr(29,2,357,7,7,"r = 3", 1, 2, 0);
	T = trans[0][357] = settr(356,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,58,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,126,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,212,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,223,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,233,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,261,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(356,2,266,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(356,2,308,0,0,"IF", 1, 2, 0);
/*->*/	trans[0][58]	= settr(57,34,358,8,8,"D_STEP342", 1, 2, 0);
	trans[0][358]	= settr(357,2,368,9,9,".(goto)", 1, 2, 0);
/*->*/	trans[0][126]	= settr(125,34,358,10,10,"D_STEP343", 1, 2, 0);
/*->*/	trans[0][212]	= settr(211,34,358,11,11,"D_STEP344", 1, 2, 0);
/*->*/	trans[0][223]	= settr(222,34,358,12,12,"D_STEP345", 1, 2, 0);
/*->*/	trans[0][233]	= settr(232,34,358,13,13,"D_STEP346", 1, 2, 0);
	T = trans[ 0][261] = settr(260,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(260,0,259,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][259] = settr(258,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(258,2,234,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(258,2,258,0,0,"IF", 1, 2, 0);
	trans[0][234]	= settr(233,2,241,14,0,"(((alive[r]&&leads[r])&&(length[r]<3)))", 1, 2, 0);
	T = trans[ 0][241] = settr(240,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(240,0,235,0,0,"sub-sequence", 1, 2, 0);
	trans[0][235]	= settr(234,2,239,15,15,"mask = 7", 1, 2, 0);
	T = trans[0][239] = settr(238,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(238,2,236,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(238,2,238,0,0,"IF", 1, 2, 0);
	trans[0][236]	= settr(235,2,248,16,16,"((length[r]>0))", 1, 2, 0); /* m: 237 -> 248,0 */
	reached0[237] = 1;
	trans[0][237]	= settr(0,0,0,0,0,"mask = entryMembers[((r*3)+(length[r]-1))]",0,0,0);
	trans[0][240]	= settr(239,2,248,1,0,".(goto)", 1, 2, 0);
	trans[0][238]	= settr(237,2,248,2,0,"else", 1, 2, 0);
	T = trans[0][248] = settr(247,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(247,2,242,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(247,2,244,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(247,2,246,0,0,"IF", 1, 2, 0);
	trans[0][242]	= settr(241,2,243,1,0,"(1)", 1, 2, 0);
	trans[0][243]	= settr(242,2,368,17,17,"(1)", 1, 2, 0); /* m: 250 -> 368,0 */
	reached0[250] = 1;
	trans[0][249]	= settr(248,2,250,1,0,".(goto)", 1, 2, 0); /* m: 250 -> 0,368 */
	reached0[250] = 1;
	trans[0][244]	= settr(243,2,368,18,18,"(((diskLost&&(mask==7))&&(leaderCommit[term[r]]==length[r])))", 1, 2, 0); /* m: 245 -> 368,0 */
	reached0[245] = 1;
	trans[0][245]	= settr(0,0,0,0,0,"mask = 3",0,0,0);
	trans[0][246]	= settr(245,2,368,19,19,"((((diskLost&&(mask==3))&&(leaderCommit[term[r]]==length[r]))&&(acked[((term[r]*4)+3)]==length[r])))", 1, 2, 0); /* m: 247 -> 368,0 */
	reached0[247] = 1;
	trans[0][247]	= settr(0,0,0,0,0,"mask = 11",0,0,0);
	trans[0][250]	= settr(249,2,368,20,20,"entryTerm[((r*3)+length[r])] = term[r]", 1, 2, 0); /* m: 251 -> 0,368 */
	reached0[251] = 1;
	trans[0][251]	= settr(0,0,0,0,0,"entryMembers[((r*3)+length[r])] = mask",0,0,0);
	trans[0][252]	= settr(0,0,0,0,0,"leaderTerm[((term[r]*3)+length[r])] = term[r]",0,0,0);
	trans[0][253]	= settr(0,0,0,0,0,"leaderMembers[((term[r]*3)+length[r])] = mask",0,0,0);
	trans[0][254]	= settr(0,0,0,0,0,"length[r] = (length[r]+1)",0,0,0);
	trans[0][255]	= settr(0,0,0,0,0,"diskLength[r] = length[r]",0,0,0);
	trans[0][256]	= settr(0,0,0,0,0,"leaderLength[term[r]] = length[r]",0,0,0);
	trans[0][257]	= settr(0,0,0,0,0,"acked[((term[r]*4)+r)] = length[r]",0,0,0);
	trans[0][260]	= settr(259,2,358,1,0,".(goto)", 1, 2, 0); /* m: 358 -> 0,368 */
	reached0[358] = 1;
	trans[0][258]	= settr(257,2,358,2,0,"else", 1, 2, 0);
	T = trans[0][266] = settr(265,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(265,2,262,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(265,2,263,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(265,2,264,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(265,2,265,0,0,"IF", 1, 2, 0);
	trans[0][262]	= settr(261,2,271,21,21,"c = 0", 1, 2, 0);
	trans[0][267]	= settr(266,2,271,1,0,".(goto)", 1, 2, 0);
	trans[0][263]	= settr(262,2,271,22,22,"c = 1", 1, 2, 0);
	trans[0][264]	= settr(263,2,271,23,23,"c = 2", 1, 2, 0);
	trans[0][265]	= settr(264,2,271,24,24,"c = 3", 1, 2, 0);
	T = trans[0][271] = settr(270,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(270,2,268,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(270,2,269,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(270,2,270,0,0,"IF", 1, 2, 0);
	trans[0][268]	= settr(267,2,304,25,25,"t = 1", 1, 2, 0);
	trans[0][272]	= settr(271,2,304,1,0,".(goto)", 1, 2, 0);
	trans[0][269]	= settr(268,2,304,26,26,"t = 2", 1, 2, 0);
	trans[0][270]	= settr(269,2,304,27,27,"t = 3", 1, 2, 0);
/*->*/	trans[0][304]	= settr(303,34,358,28,28,"D_STEP350", 1, 2, 0);
	T = trans[0][308] = settr(307,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(307,2,305,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(307,2,306,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(307,2,307,0,0,"IF", 1, 2, 0);
	trans[0][305]	= settr(304,2,313,29,29,"t = 1", 1, 2, 0);
	trans[0][309]	= settr(308,2,313,1,0,".(goto)", 1, 2, 0);
	trans[0][306]	= settr(305,2,313,30,30,"t = 2", 1, 2, 0);
	trans[0][307]	= settr(306,2,313,31,31,"t = 3", 1, 2, 0);
	T = trans[0][313] = settr(312,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(312,2,310,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(312,2,311,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(312,2,312,0,0,"IF", 1, 2, 0);
	trans[0][310]	= settr(309,2,356,32,32,"x = 0", 1, 2, 0);
	trans[0][314]	= settr(313,2,356,1,0,".(goto)", 1, 2, 0);
	trans[0][311]	= settr(310,2,356,33,33,"x = 1", 1, 2, 0);
	trans[0][312]	= settr(311,2,356,34,34,"x = (3-1)", 1, 2, 0);
/*->*/	trans[0][356]	= settr(355,34,358,35,35,"D_STEP353", 1, 2, 0);
/*->*/	trans[0][368]	= settr(367,36,370,36,36,"D_STEP356", 1, 2, 0);
	trans[0][372]	= settr(371,0,373,1,0,"break", 0, 2, 0);
	trans[0][373]	= settr(372,0,0,37,37,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
